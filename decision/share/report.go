package share

// Report is what an instance tells the others about one limit.
type Report struct {
	// Demand is what the instance could use.
	Demand int
	// Settled is the share in use.
	Committed int
	// Reserved is the share that is announced, at least Settled.
	Reserved int
	// Frozen is the sum that the instance's data centre may hold while
	// another one is cut off; Unfrozen when none is.
	Frozen int
}

// Unfrozen is the value of Report.Frozen while no data centre is cut off.
const Unfrozen = -1
