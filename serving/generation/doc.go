// Package generation runs generations. Each is driven by one goroutine that
// feeds a decision machine (decision/generation) and carries out what it
// decides; each attempt at an engine has a goroutine of its own that reads the
// stream. A generation whose keyed caller is gone keeps its engine stream for
// a grace period without any goroutine.
package generation
