// Package pick chooses one of the scored servers.
package pick
