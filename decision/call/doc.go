// Package call decides the course of one call to a plain service.
//
// A Machine takes the events of one call (answers of claim operations, routes,
// ends of attempts, ticks) and returns what to do next. Three courses exist:
//
//   - ModeClaimed, for non-idempotent operations: claim the key, route, send
//     once, record the outcome. After sending there is no retry. Before it,
//     any failure releases the claim.
//   - ModeChecked, for non-idempotent operations whose backend servers check
//     keys themselves: route and send once, with the key.
//   - ModeIdempotent: retries with backoff inside a budget, and a hedge.
//
// Every failed call states its execution. not-run: nothing was ever sent for
// the key. unknown: it was sent and the outcome is not known. refused-here:
// this submission was not sent and earlier ones could not be read.
//
// The call's answer is given by Finish, as soon as it is known; the machine may
// then go on recording or releasing until Done reports true.
//
// The package is deterministic: time, random source and budget are passed in.
package call
