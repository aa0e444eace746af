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
// A server that turned a request away and named a time is never chosen before that time.
// Where a prompt is known to be in a server's cache, only the rest counts as read there.
//
// A Ledger takes the requests of its instance, the loads that peers report and the
// outcome of calls, and returns the chosen server. It has no clock, sockets or locks.
package placement
