package serving

// Capacity is how many requests of a service may run at a time.
type Capacity struct {
	Service  string
	Requests int
}

// CapacitySource estimates the capacity of the backend servers that this instance
// may use. It is safe for concurrent use.
type CapacitySource interface {
	Capacities() []Capacity
}
