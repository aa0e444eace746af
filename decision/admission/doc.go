// Package admission decides which requests of client accounts run now, wait
// or are refused.
//
// A request first meets its account's shares of the four limits and is
// refused at once when one is used up. Then it runs if the service has room,
// or waits in the service's fair queue. A request that is not expected to
// start in time is refused at once with the time to come back: a request that
// waits in vain takes the place of one that would not. The package is
// deterministic: time and the source of jitter are given by the caller.
package admission
