// Package orders is the duty that keeps the model engines of a data centre as
// declared. It drives decision/lease and decision/orders: one instance of the
// data centre holds the lease in the platform, observes the engines and gives
// them orders under its fencing number.
package orders
