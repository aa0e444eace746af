package estate

// ClientAccount is one authenticated user of the estate.
type ClientAccount struct {
	Name string `json:"name"`
	Firm string `json:"firm"`
	// KeyHashes are SHA-256 hashes of the bearer keys, in hexadecimal.
	KeyHashes []string `json:"key_hashes"`
	// Weight is the account's relative share of a contended queue.
	Weight int           `json:"weight"`
	Limits AccountLimits `json:"limits"`
	// Priority is passed to engines; higher runs first.
	Priority int `json:"priority,omitempty"`
}

// AccountLimits are the limits of one client account over all instances. Zero
// means no limit.
type AccountLimits struct {
	RequestsPerSecond int `json:"requests_per_second,omitempty"`
	RequestsInFlight  int `json:"requests_in_flight,omitempty"`
	TokensPerSecond   int `json:"tokens_per_second,omitempty"`
	TokensInFlight    int `json:"tokens_in_flight,omitempty"`
}
