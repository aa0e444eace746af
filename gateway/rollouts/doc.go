// Package rollouts moves services to other software versions on order: it follows the orders in the store, gathers the
// evidence of all instances, divides requests over versions, and writes the state of orders.
package rollouts
