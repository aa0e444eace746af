// Package recovery measures the resume latency and the extra tokens and bytes of a recovery
// objective in virtual time. Each generation has a simulated estate of its own with 25 engines in
// three regions, and one failure occurs in the middle of its answer. Both objectives get the same
// failures. It sets no targets: the experiments that use it do.
package recovery
