// Package overhead measures over real sockets the delay and processor time that an entry instance
// adds to token streams, and its token rate, compared with direct requests to the same engine in
// the same run.
//
// Engine, entry instance and callers share one process. The text of each token is its send time,
// from which the caller computes the token's delay. The two paths are measured in turns, so that
// other load on the machine affects both.
package overhead
