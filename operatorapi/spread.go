package operatorapi

// Spread says on which instances a revision is in force.
type Propagation struct {
	InForce []InstanceRevision `json:"in_force"`
	// Pending lists the instances where it is not in force yet.
	Pending []InstanceRevision `json:"pending,omitempty"`
}

// InstanceRevision is the revision in force on one instance.
type InstanceRevision struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Revision   uint64 `json:"revision"`
	// Unreachable says why the instance did not answer, empty when it did.
	Unreachable string `json:"unreachable,omitempty"`
}
