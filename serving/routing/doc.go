// Package routing implements serving.Router.
//
// A Router runs decision/routing on the in-force configuration: it keeps one
// load tracker and one circuit breaker for each backend server and rebuilds its
// snapshot when a new revision comes into force. A Poller requests load reports
// from the servers. The package sends no requests of callers.
package routing
