package estate

// Shift sends a part of a model's load from one region to another.
type Shift struct {
	Model string `json:"model"`
	From  string `json:"from"`
	To    string `json:"to"`
	// Percent of the load of From, 1 to 100.
	Percent int `json:"percent"`
}
