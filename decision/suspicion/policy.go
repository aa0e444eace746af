package suspicion

import "time"

// Policy holds the bounds of the silence and prefill timeouts.
type Policy struct {
	// MinSilenceTimeout and MaxSilenceTimeout bound the silence timeout between
	// two tokens.
	MinSilenceTimeout time.Duration
	MaxSilenceTimeout time.Duration
	// Deviations is the number of mean deviations above the mean interval that
	// count as normal.
	Deviations float64
	// PrefillBase is the prefill timeout of an empty prompt.
	PrefillBase time.Duration
	// PrefillPerKilobyte is added for each 1024 bytes of prompt and prefix.
	PrefillPerKilobyte time.Duration
}

// bytesPerKilobyte is the number of bytes to which PrefillPerKilobyte applies.
const bytesPerKilobyte = 1024

// PrefillTimeout returns the timeout until the first token for a text of bytes.
func (p Policy) PrefillTimeout(bytes int) time.Duration {
	return p.PrefillBase + p.PrefillPerKilobyte*time.Duration(bytes)/bytesPerKilobyte
}
