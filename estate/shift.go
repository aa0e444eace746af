package estate

// Shift routes a percentage of a model's load from one region to another.
type Shift struct {
	Model string `json:"model"`
	From  string `json:"from"`
	To    string `json:"to"`
	// Percent is the part of the load of From, 1 to 100.
	Percent int `json:"percent"`
}
