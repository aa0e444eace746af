package dump

// Budget is the state of one rate limit on the calls to another system, such as
// the platform.
type Budget struct {
	Name string `json:"name"`
	// PerSecond is the maximum rate.
	PerSecond float64 `json:"per_second"`
	Used      uint64  `json:"used"`
	Refused   uint64  `json:"refused"`
	Failed    uint64  `json:"failed"`
	// Open means that the circuit breaker is open: no call is sent.
	Open bool `json:"open,omitempty"`
}
