package dump

// Budget is the state of one bounded use of another party, such as the calls
// to the platform.
type Budget struct {
	Name string `json:"name"`
	// PerSecond is the bound.
	PerSecond float64 `json:"per_second"`
	Used      uint64  `json:"used"`
	Refused   uint64  `json:"refused"`
	Failed    uint64  `json:"failed"`
	// Open means that the circuit breaker lets nothing through.
	Open bool `json:"open,omitempty"`
}
