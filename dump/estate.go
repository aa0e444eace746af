package dump

// Estate is the state of every instance that answered.
type Estate struct {
	Instances []Instance `json:"instances"`
	// Missing lists the instances that did not answer.
	Missing []Missing `json:"missing,omitempty"`
}

// Missing is an instance that did not answer.
type Missing struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Reason     string `json:"reason"`
}
