// Package command parses and evaluates the commands of operators.
//
// Parse turns text into a Script by one grammar. Help and docs/COMMANDS.md are
// generated from the same table of commands. Change returns the configuration
// that a command produces, or an error and no configuration; Query answers a
// query from a configuration and the collected state of the instances. The
// package is deterministic and does no I/O: the caller passes the contents of
// the files that a command names.
package command
