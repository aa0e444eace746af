package route

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath is the path at which a backend server says who it is.
	HealthPath string
	// Engine is nil for services that do not run a model.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// MemoryTokens is the size of the KV cache in tokens.
	MemoryTokens int
	// Copies reports whether an engine can send a generation's KV cache to
	// another engine while it runs.
	CopiesCache bool
}
