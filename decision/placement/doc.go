// Package placement chooses the backend server of one request, and the server
// that keeps the KV cache copy of a running generation.
//
// It handles two kinds of load. For generations with long prompts, the number of
// free slots says little: a prefill delays every other generation at the server,
// and the memory holds few generations. Servers are compared by their waiting
// prompt tokens and by memory. For short calls, servers differ in speed and some
// fail a part of their calls. They are compared by the duration of their recent
// answers, the wait of the oldest unanswered call and the part of failed calls.
//
// A Ledger takes the requests of its instance, the loads that peers report and the
// outcome of calls, and returns the chosen server. It has no clock, sockets or locks.
package placement
