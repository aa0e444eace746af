// Package call decides how one call to a plain service is sent, retried and
// answered.
//
// A Machine takes the events of one call (answers of claim operations, routes,
// ends of attempts, ticks) and returns the next actions; it does no I/O. The
// mode of the call is one of three:
//
//   - ModeClaimed, for non-idempotent operations: claim the key, route, send
//     once, record the outcome. After sending there is no retry. Before it,
//     any failure releases the claim.
//   - ModeChecked, for non-idempotent operations whose backend servers check
//     keys themselves: route and send once, with the key.
//   - ModeIdempotent: retries with backoff within a budget, and a hedge.
//
// Every failed call states its execution. not-run: nothing was ever sent for
// the key. unknown: it was sent and the outcome is not known. refused-here:
// this submission was not sent and earlier ones could not be read.
//
// Finish holds the call's answer and is returned as soon as it is known. The
// machine may then continue to record or release until Done reports true.
//
// The package is deterministic: time, random source and budget are passed in.
package call
