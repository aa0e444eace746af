package message

// RequestRate is what an answer states about how many requests its server takes from all instances together.
type RequestRate struct {
	// Stated is set when the answer states a rate, PerSecond is that rate in requests a second.
	Stated    bool
	PerSecond float64
	// Invalid is set when the rate can't be read: what was stated before holds.
	Invalid bool
}
