// Package membership runs the membership decisions of one instance: a duty
// feeds them digests, ticks and the wishes of the other duties, and sends what
// they decide.
package membership
