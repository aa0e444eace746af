// Package breaker decides whether a backend server may be tried.
//
// A Breaker is closed while the server answers. Consecutive failures open it;
// after a jittered wait that doubles with each reopening it becomes half-open
// and lets one probe through at a time. A probe that succeeds, or that runs
// for Config.ProbeSettled without a failure, closes it again. The package is
// deterministic: time is passed in and jitter comes from the given source.
package breaker
