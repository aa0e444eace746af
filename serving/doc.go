// Package serving defines the seams between the parts of the serving path.
// The transports call into these interfaces; each is implemented by one
// package under serving/ or control/ that drives a decision package.
//
//	admission  -> who may send, how much, in which order
//	routing    -> which backend server takes an attempt
//	generation -> attempts, repair and cursors of one answer
//	call       -> claims, retries and outcomes of one call
//	guard      -> requests that end the servers that run them
package serving
