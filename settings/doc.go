// Package settings reads and validates the bootstrap settings of one process:
// its addresses, data centre and region, the platform and the keys. It takes a
// file and returns Settings with defaults filled in, or the problems found.
//
// It doesn't read the configuration of the estate, which is stored in the
// platform's object API (package estate).
package settings
