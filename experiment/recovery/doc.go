// Package recovery measures both recovery objectives on both of their figures,
// resume latency and extra use, in virtual time. Each generation has an estate
// of its own of 25 engines in three regions and one loss in the middle of its
// answer; both objectives meet the same losses.
package recovery
