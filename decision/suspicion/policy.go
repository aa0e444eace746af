package suspicion

import "time"

// Policy bounds the silence that a stream is allowed.
type Policy struct {
	// Floor and Ceiling bound the silence between two tokens.
	MinSilenceTimeout time.Duration
	MaxSilenceTimeout time.Duration
	// Deviations is how many mean deviations above the mean gap are normal.
	Deviations float64
	// PrefillBase is the budget of an empty prompt until its first token.
	PrefillBase time.Duration
	// PrefillPerKilobyte is added for each 1024 bytes of prompt and prefix.
	PrefillPerKilobyte time.Duration
}

// bytesPerKilobyte is the unit of PrefillPerKilobyte.
const bytesPerKilobyte = 1024

// Prefill returns the budget until the first token for a text of the size.
func (p Policy) PrefillTimeout(bytes int) time.Duration {
	return p.PrefillBase + p.PrefillPerKilobyte*time.Duration(bytes)/bytesPerKilobyte
}
