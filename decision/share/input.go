package share

// Input is what a Holder needs for one step.
type Input struct {
	// Limit is the account's limit over all instances.
	Limit int
	// Demand is what this instance could use.
	Demand int
	// Peers are the other members that count. Members that died are left out;
	// members of a data centre that is cut off are not.
	Peers []Peer
}
