package engineapi

// LoadReport is an engine's report of its load. It may be outdated on arrival.
type LoadReport struct {
	BootID string `json:"boot_id"`
	// Sequence grows with each report of one boot.
	Sequence uint64 `json:"sequence"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
	Slots    int    `json:"slots"`
	// CachedTokens counts the prompt tokens in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
	// Leaving means that the engine takes no new work.
	Leaving bool `json:"leaving"`
	// ObservedUnixMilli is when the load was observed, by the engine's clock, in
	// milliseconds since 1970.
	ObservedUnixMilli int64  `json:"observed_unix_milli"`
	Model             string `json:"model"`
	Version           string `json:"version"`
}
