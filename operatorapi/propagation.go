package operatorapi

// Propagation lists the instances on which a revision is in force and those on which
// it is not.
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
	// Unreachable is the reason why the instance did not answer, if it did not.
	Unreachable string `json:"unreachable,omitempty"`
}
