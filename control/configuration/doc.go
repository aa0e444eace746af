// Package configuration keeps the in-force configuration up to date: a duty runs the decisions
// of decision/configspread, fetches revisions from the platform or from other instances, and
// serves them to its peers.
//
// A revision is put in force as a whole: every chunk is verified against its hash before the
// configuration is replaced. Package configstore writes changes to the platform.
package configuration
