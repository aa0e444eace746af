// Command wisteriahaven-bench runs the stand-ins, the demo and the
// experiments.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// arguments is the command line.
type arguments struct {
	Demo       *demoCommand       `arg:"subcommand:demo" help:"run an example estate, break it, and check every answer"`
	Standins   *standinsCommand   `arg:"subcommand:standins" help:"run the stand-ins of an example estate on its declared addresses"`
	Load       *loadCommand       `arg:"subcommand:load" help:"send a bounded load of generations and calls to loopback addresses"`
	Experiment *experimentCommand `arg:"subcommand:experiment" help:"run an experiment and print its figures and targets"`
	Soak       *soakCommand       `arg:"subcommand:soak" help:"run entry instances as processes, injure them and their links, and check what callers and backend servers see"`
	Slopes     *slopesCommand     `arg:"subcommand:slopes" help:"measure what control costs a node against the sizes of the estate"`
}

// Description implements arg.Described: it is printed above the help.
func (arguments) Description() string {
	return "wisteriahaven-bench runs stand-ins, the demo and experiments on this machine.\n" +
		"Exit codes: 0 success, 1 a check failed or a target was missed, 2 wrong usage."
}

// Version implements arg.Versioned: it is printed by --version.
func (arguments) Version() string { return "wisteriahaven-bench 0.1.0" }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var parsed arguments
	parser := arg.MustParse(&parsed)
	switch {
	case parsed.Demo != nil:
		os.Exit(parsed.Demo.run(ctx))
	case parsed.Standins != nil:
		os.Exit(parsed.Standins.run(ctx))
	case parsed.Load != nil:
		os.Exit(parsed.Load.run(ctx))
	case parsed.Experiment != nil:
		os.Exit(parsed.Experiment.run(ctx))
	case parsed.Soak != nil:
		os.Exit(parsed.Soak.run(ctx))
	case parsed.Slopes != nil:
		os.Exit(parsed.Slopes.run(ctx))
	default:
		parser.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
}

// fail prints an error to standard error and returns the exit code of a failure.
func fail(err error) int {
	_, _ = fmt.Fprintln(os.Stderr, err)
	return exitFailure
}
