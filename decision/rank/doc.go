// Package rank derives from the ranks of requests in which order they start where there is too little room for all.
//
// It answers the load of callers of several ranks who compete for the slots and the memory of the same servers. The ranks that
// a configuration uses for one service are an Order; where all are the same, no request takes precedence over another.
// An Order gives each request a level: the order in which a server starts the requests that it lets wait, and gives up running
// ones when its memory runs out. A stream that has begun goes before all that have not: what it has made
// would be made again, and its reader waits in the middle of it.
// The package is deterministic and knows no requests.
package rank
