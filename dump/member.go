package dump

// Member is another instance as this one sees it.
type Member struct {
	Instance    string `json:"instance"`
	DataCentre  string `json:"data_centre"`
	Region      string `json:"region"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	// Revision is the configuration revision the member reported.
	Revision uint64 `json:"revision"`
}
