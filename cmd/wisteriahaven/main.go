// Command wisteriahaven runs an entry instance and its operator tools.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// arguments is the command line.
type arguments struct {
	Entry *entryCommand `arg:"subcommand:entry" help:"run an entry instance"`
}

// Description is printed above the help.
func (arguments) Description() string {
	return "wisteriahaven serves long model generations on engines that fail.\n" +
		"Exit codes: 0 success, 1 failure, 2 wrong usage or settings."
}

// Version is printed by --version.
func (arguments) Version() string { return "wisteriahaven 0.1.0" }

func main() {
	var parsed arguments
	parser := arg.MustParse(&parsed)
	switch {
	case parsed.Entry != nil:
		os.Exit(parsed.Entry.run())
	default:
		parser.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
}

// fail prints an error and returns the exit code.
func fail(err error, code int) int {
	_, _ = fmt.Fprintln(os.Stderr, err)
	return code
}
