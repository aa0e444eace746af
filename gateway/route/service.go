package route

import "time"

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath is the path at which a backend server says who it is.
	HealthPath string
	// ConnectionLimit bounds the connections that one backend server accepts
	// from all instances together.
	ConnectionLimit int
	// Engine is nil for services that do not run a model.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of generations in one batch.
	Slots int
	// MemoryTokens is the size of the KV cache in tokens.
	MemoryTokens int
	// Copies reports whether an engine can send a generation's KV cache to
	// another engine while it runs.
	Copies bool
	// CopyLifetime is how long a copy outlives its last update.
	CopyLifetime time.Duration
	// TokensPerEvent is the number of tokens in one event.
	TokensPerEvent int
}
