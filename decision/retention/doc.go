// Package retention keeps recently broken answers in bounded memory, so that
// a caller that comes back to the same instance needs no replay. The answer
// used least recently leaves first.
package retention
