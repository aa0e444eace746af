package engineapi

// OrderKind is what an order asks an engine to do.
type OrderKind string

// The orders to engines. Each names the wished state, so that repeating one
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
	// Fencing is the lease holder's fencing number; engines that check it
	// refuse one below the highest they have seen.
	FencingToken uint64 `json:"fencing"`
}

// OrderState is what an engine currently has: GET /v1/orders and the answer
// to POST /v1/orders.
type OrderState struct {
	BootID  string `json:"boot_id"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role"`
	// Loading means that weights are still being fetched.
	Loading bool `json:"loading"`
	// Fencing is the highest fencing number seen; zero when not checked.
	FencingToken uint64 `json:"fencing"`
}
