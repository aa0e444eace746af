// Package experiment defines what every experiment of wisteriahaven-bench
// prints: the settings it used, its figures and its targets. A target's bound
// is part of the design and is never computed from a measurement.
package experiment
