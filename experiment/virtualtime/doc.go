// Package virtualtime runs events of an experiment in the order of their
// virtual times. Equal times keep the order in which they were scheduled, so
// that a run repeats exactly.
package virtualtime
