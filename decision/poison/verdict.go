package poison

import "time"

// Verdict says whether a request is rejected.
type Verdict struct {
	// Rejected is set while the request is quarantined, Until is the end of its quarantine.
	Rejected bool
	Until    time.Time
	// Keys are those of the quarantine.
	Keys []Key
}
