// Package pick chooses one of the scored servers. It takes at least one
// candidate and a random source and returns a position; it changes no cost.
package pick
