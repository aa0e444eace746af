package dump

// Member is a peer's entry in the membership table of this instance.
type Member struct {
	Instance    string `json:"instance"`
	DataCentre  string `json:"data_centre"`
	Region      string `json:"region"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	// Revision is the configuration revision that the peer reported.
	Revision uint64 `json:"revision"`
}
