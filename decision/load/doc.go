// Package load estimates how many requests a backend server holds now.
//
// Load reports of servers arrive with a lag. A Tracker takes the reports of one
// server and the starts and ends of this instance's requests there, and corrects
// the last report by those since the report was made. Without the correction, every
// choice between two reports would go to the server that was idle in the last one.
// The estimate is never below the instance's own requests in flight. Instead of a
// report that is too old, the estimate is the own requests times the number of
// instances. The package is deterministic; times are given by the caller.
package load
