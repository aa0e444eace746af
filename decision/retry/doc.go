// Package retry decides when an idempotent call is tried again: full-jitter
// exponential backoff, a budget that bounds retries by the number of requests,
// and the delay after which a second attempt is started beside a slow one.
//
// The package is deterministic: time and the random source are passed in.
package retry
