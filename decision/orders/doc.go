// Package orders decides which orders the holder of the orders lease gives to
// model engines, so that the estate repairs itself.
//
// The package is deterministic: Reconciler.Step takes the local monotonic time,
// the lease and what was observed of the engines, and returns orders. Orders
// name a wished state and are repeated until it is seen; nothing depends on an
// order arriving once. A new holder derives the same wishes from what it
// observes, so no assignment is stored.
//
// An engine that checks fencing numbers refuses an old holder itself. One that
// does not may still carry out an order that an old holder sent before its
// lease ended; therefore a new holder gives such an engine no order before the
// old lease has surely ended, and its state is compared with the wish forever
// after.
package orders
