package estate

// ServiceKind is what a service serves: generations or plain calls.
type ServiceKind string

// The kinds of service.
const (
	ServiceGeneration ServiceKind = "generation"
	ServiceCall       ServiceKind = "call"
)

// Objective is what recovery optimizes for.
type Objective string

// The recovery objectives.
const (
	// ObjectiveLatency minimizes the time until an interrupted generation resumes.
	ObjectiveLatency Objective = "latency"
	// ObjectiveCost minimizes recomputed tokens and cross-region bytes.
	ObjectiveCost Objective = "cost"
)

// Service is one named service offered to client accounts.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
	// Models lists the models of a generation service.
	Models []string `json:"models,omitempty"`
	// Operations lists the operations of a call service.
	Operations []Operation `json:"operations,omitempty"`
	Recovery   Recovery    `json:"recovery,omitzero"`
	// Deadline is the time limit of a request that states none.
	Deadline Duration `json:"deadline"`
}

// Recovery is the recovery policy of a generation service.
type Recovery struct {
	Objective Objective `json:"objective,omitempty"`
	// GracePeriod is how long a generation with an idempotency key runs on after
	// its caller disconnected.
	GracePeriod Duration `json:"grace_period,omitzero"`
}

// Operation is one operation of a call service.
type Operation struct {
	Name string `json:"name"`
	// Idempotent operations may be retried and hedged.
	Idempotent bool `json:"idempotent"`
	// ChecksKeys means that the backend servers deduplicate requests by key.
	ChecksKeys bool `json:"checks_keys,omitempty"`
	// ClaimRetention is how long the claim of a key is kept.
	ClaimRetention Duration `json:"claim_retention,omitzero"`
}
