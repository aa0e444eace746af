// Command wisteriahaven runs an entry instance and its operator tools.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/wisteriahaven/wisteriahaven/ctl"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// arguments is the command line.
type arguments struct {
	Entry  *entryCommand  `arg:"subcommand:entry" help:"run an entry instance"`
	Ctl    *ctlCommand    `arg:"subcommand:ctl" help:"run operators' commands"`
	Check  *checkCommand  `arg:"subcommand:check" help:"validate settings or an estate"`
	Events *eventsCommand `arg:"subcommand:events" help:"print the catalogue of log events"`
	Errors *errorsCommand `arg:"subcommand:errors" help:"print the catalogue of error codes"`
}

// Description implements arg.Described: it is printed above the help.
func (arguments) Description() string {
	return "wisteriahaven serves long model generations on engines that fail.\n" +
		"Exit codes: 0 success, 1 failure, 2 wrong usage or settings. Those of ctl:\n" + ctl.ExitCodes
}

// Version implements arg.Versioned: it is printed by --version.
func (arguments) Version() string { return "wisteriahaven 0.1.0" }

func main() {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "wisteriahaven"}, &parsed)
	if err != nil {
		os.Exit(fail(err, exitFailure))
	}
	parser.MustParse(ctlArguments(os.Args[1:]))
	switch {
	case parsed.Entry != nil:
		os.Exit(parsed.Entry.run())
	case parsed.Ctl != nil:
		os.Exit(parsed.Ctl.run())
	case parsed.Check != nil:
		os.Exit(parsed.Check.run())
	case parsed.Events != nil:
		os.Exit(parsed.Events.run())
	case parsed.Errors != nil:
		os.Exit(parsed.Errors.run())
	default:
		parser.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
}

// fail prints an error to standard error and returns the given exit code.
func fail(err error, code int) int {
	_, _ = fmt.Fprintln(os.Stderr, err)
	return code
}
