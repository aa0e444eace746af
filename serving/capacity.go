package serving

// Capacity is how many requests of a service may run at a time.
type Capacity struct {
	Service  string
	Requests int
}

// CapacitySource estimates the room at the backend servers. It is safe for
// concurrent use.
type CapacitySource interface {
	Capacities() []Capacity
}
