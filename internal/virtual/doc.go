// Package virtual runs events in virtual time and takes every choice from one
// source, so that a schedule of failures repeats exactly.
package virtual
