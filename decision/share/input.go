package share

// Input holds what a Holder needs for one step.
type Input struct {
	// Limit is the account's limit over all instances.
	Limit int
	// Demand is the amount that this instance could use.
	Demand int
	// Peers are the other counted members. Failed members are left out; members
	// of a data centre that is cut off are included.
	Peers []Peer
}
