// Package serving defines the interfaces between the parts of the serving path.
// The transports call these interfaces; each is implemented by one package under
// serving/ or control/ that runs a decision package.
//
//	admission  -> authentication, queues and limits of client accounts
//	routing    -> which backend server runs an attempt
//	generation -> attempts, resumptions and cursors of one answer
//	call       -> claims, retries and outcomes of one call
//	guard      -> poison requests: requests that crash their backend servers
//	overflow   -> requests forwarded to other data centres
package serving
