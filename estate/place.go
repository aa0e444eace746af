package estate

// Region is a group of data centres with fast links between them.
type Region struct {
	Name string `json:"name"`
}

// DataCentre is one site with entry instances and backend servers of its own.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}
