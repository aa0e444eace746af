// Package client is the Go client for callers. It streams answers, continues a
// broken one by itself on any instance, and repeats calls only where that is
// safe.
package client
