package overflow

// Peer is an entry instance that may take requests of this one.
type Peer struct {
	Instance   string
	DataCentre string
	Region     string
	// Address is the address on which it listens for callers, "ip:port".
	Address string
}
