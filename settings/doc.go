// Package settings reads and checks the bootstrap settings of one process:
// its addresses, data centre and region, the platform and the keys. The
// configuration of the estate is apart from them, in the platform's object
// API (package estate).
package settings
