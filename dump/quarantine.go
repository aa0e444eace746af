package dump

// Quarantine is a request that ended the servers that ran it.
type Quarantine struct {
	// Fingerprint identifies the request's content, in hexadecimal.
	Fingerprint   string `json:"fingerprint"`
	FailedServers int    `json:"deaths"`
	Reason        string `json:"reason"`
}
