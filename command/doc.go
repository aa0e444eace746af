// Package command is the language of the operators.
//
// Parse turns text into a Script by one grammar. Help and docs/COMMANDS.md are
// made from the same table of commands. Change computes the next configuration
// of a command, whole or not at all; Query answers a question from a
// configuration and the gathered state of the instances. The package is
// deterministic and does no I/O: files that a command names are given to it.
package command
