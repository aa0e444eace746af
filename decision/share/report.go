package share

// Report holds the state of one limit that an instance sends to its peers.
type Report struct {
	// Demand is the amount that the instance could use.
	Demand int
	// Committed is the share that the instance may use.
	Committed int
	// Reserved is the share that the instance wants to commit, at least Committed.
	Reserved int
	// Frozen is the total share that the instance's data centre may hold while
	// another one is cut off; Unfrozen when none is.
	Frozen int
}

// Unfrozen is the value of Report.Frozen while no data centre is cut off.
const Unfrozen = -1
