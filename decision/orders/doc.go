// Package orders decides which orders the holder of the orders lease gives to
// model engines, so that they serve what the configuration declares and spares
// replace failed ones.
//
// The package is deterministic: Reconciler.Step takes the local monotonic time,
// the lease and the observed state of the engines, and returns orders. An order
// names a desired state and is repeated until that state is observed; nothing
// depends on the arrival of a single order. A new holder derives the same desired
// states from what it observes, so no assignment is stored. The caller sends the
// orders.
//
// An engine that checks fencing tokens refuses an old holder by itself. One that
// does not may still carry out an order that an old holder sent before its lease
// ended. Therefore a new holder gives such an engine no order before the old lease
// has certainly ended, and it keeps comparing the engine's state with the desired
// one.
package orders
