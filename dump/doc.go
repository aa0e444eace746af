// Package dump defines the state that a process reports on request, and the
// combined state of many instances. It holds the types only: the process that
// reports the state fills them in.
package dump
