// Package event defines the numbered log events.
//
// A log line is always one of the events of the catalogue. Its number never
// changes its meaning, so that operators can alert on it. docs/EVENTS.md is
// printed from the catalogue and a test keeps both equal.
package event
