package engineapi

// OrderKind is the kind of change that an order requests from an engine.
type OrderKind string

// The kinds of order. Each order states the desired state, so that repeating one
// changes nothing.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order is the body of POST /v1/orders.
type Order struct {
	ID      string    `json:"id"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Role    string    `json:"role,omitempty"`
	// FencingToken is the lease holder's fencing token; engines that check it refuse
	// one below the highest they have received.
	FencingToken uint64 `json:"fencing"`
}

// OrderState is the current state of an engine, the answer to GET and to POST
// /v1/orders.
type OrderState struct {
	BootID  string `json:"boot_id"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role"`
	// Loading means that the engine is still fetching the weights.
	Loading bool `json:"loading"`
	// FencingToken is the highest fencing token received; zero when not checked.
	FencingToken uint64 `json:"fencing"`
}
