package snapshot

// Place is a data centre and its region. An empty data centre stands for any
// data centre of the region.
type Place struct {
	DataCentre string
	Region     string
}
