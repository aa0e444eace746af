// Package virtual runs events in virtual time and takes every random choice from
// one source, so that a schedule of failures can be repeated exactly.
package virtual
