// Package virtualtime runs events of an experiment in the order of their virtual times, without
// sleeping. Events with equal times run in the order in which they were scheduled, so that a run
// repeats exactly.
package virtualtime
