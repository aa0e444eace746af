// Package orders runs the duty that brings the model engines of a data centre to their declared
// models. It runs the decisions of decision/lease and decision/orders: one instance of the data
// centre holds the lease in the platform, polls the engines and sends them orders with its
// fencing token.
package orders
