// Package configuration keeps the configuration in force up to date: a duty
// drives the spreading decisions, reads revisions from the platform or from
// other instances, and hands them on to others.
//
// A revision is put in force whole: every chunk is verified against its hash
// before the configuration is replaced.
package configuration
