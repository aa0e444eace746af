package overflow

// Peer is an entry instance that may take requests.
type Peer struct {
	Instance   string
	DataCentre string
	Region     string
	// Address is where it listens for callers, "ip:port".
	Address string
}
