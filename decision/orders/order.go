package orders

import "github.com/wisteriahaven/wisteriahaven/engineapi"

// Order is one order to one engine with its reason.
type Order struct {
	Server string
	// Kind is OrderLoad or OrderUnload.
	Kind         engineapi.OrderKind
	Desired      Assignment
	FencingToken uint64
	// Reason explains the order in one line.
	Reason string
}
