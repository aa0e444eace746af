package snapshot

// Place is a data centre and its region. An empty data centre means any of
// the region.
type Place struct {
	DataCentre string
	Region     string
}
