// Package dump defines the state that a process shows on request, and gathers
// the states of many instances into one view of the estate.
package dump
