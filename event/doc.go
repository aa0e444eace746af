// Package event defines the numbered log events.
//
// Every log line is one of the events of the catalogue. A number never changes
// its meaning, so that operators can alert on it. docs/EVENTS.md is
// printed from the catalogue and a test keeps both equal.
package event
