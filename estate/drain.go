package estate

// Drain keeps new work away from a backend server, an instance or a data
// centre.
type Drain struct {
	// Kind is "backend-server", "instance" or "data-centre".
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// Shift sends a part of a model's load from one region to another.
type Shift struct {
	Model   string `json:"model"`
	From    string `json:"from"`
	To      string `json:"to"`
	Percent int    `json:"percent"`
}
