// Package load estimates how many requests a backend server holds now.
//
// Servers report their load with a lag. A Tracker corrects the last report by
// what this instance sent and ended since the report was true: without it,
// every choice between two reports goes to the server that looked idle. The
// estimate is never below the instance's own requests in flight. A report
// that is too old is dropped in favour of own requests times the number of
// instances. The package is deterministic; times are given by the caller.
package load
