// Package admission decides which requests of client accounts run now, wait
// or are refused.
//
// A Controller takes arrivals and ends of requests and returns the requests that
// start or are refused. It first checks an arrival against its account's shares of
// the four limits and refuses it at once when one is used up. Then the request runs
// if the service has capacity, or waits in the service's fair queue. A request that
// is not expected to start in time is refused at once with a retry time, because it
// would take the place of one that can still finish.
//
// A WaitingList decides the same for requests whose room depends on the backend server: the forwarding gateway tries them in
// the list's order. MayTake divides free room between instances. The package runs no request.
// It is deterministic: time and the source of jitter are given by the caller.
package admission
