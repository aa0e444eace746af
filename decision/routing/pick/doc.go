// Package pick chooses one of the scored servers. It changes no cost.
package pick
