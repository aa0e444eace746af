package dump

// Lease is the right of one instance to give a kind of order.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	// Fencing is the platform's version of the lease.
	FencingToken uint64 `json:"fencing"`
}
