// Package routing implements serving.Router.
//
// A Router drives decision/routing over the configuration in force: it keeps
// one load tracker and one circuit breaker for each backend server and rebuilds
// its snapshot when a new revision is in force. A Poller asks the servers for
// their load.
package routing
