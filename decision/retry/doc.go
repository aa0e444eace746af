// Package retry decides when an idempotent call is retried: it has full-jitter
// exponential backoff, a budget that bounds retries by the number of requests,
// and the latency percentile after which a slow call is hedged.
//
// The package is deterministic: time and the random source are passed in.
package retry
