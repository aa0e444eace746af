package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"time"

	"github.com/wisteriahaven/wisteriahaven/command"
	"github.com/wisteriahaven/wisteriahaven/ctl"
)

// ctlCommand holds the operators' subcommands and their common flags.
type ctlCommand struct {
	Addresses []string      `arg:"--address,separate,env:WISTERIAHAVEN_OPERATORS" help:"operator address of an entry instance; may be repeated, they are tried in turn"`
	Token     string        `arg:"--token,env:WISTERIAHAVEN_TOKEN" help:"operator's token"`
	Output    string        `arg:"--output" default:"table" help:"table or json"`
	Wait      time.Duration `arg:"--wait" default:"5s" help:"how long a change waits until it is in force everywhere"`

	Run       *ctlRunCommand       `arg:"subcommand:run" help:"run one command, a script, or a prompt (the default)"`
	Watch     *ctlWatchCommand     `arg:"subcommand:watch" help:"show the estate, refreshed in place"`
	Dump      *ctlDumpCommand      `arg:"subcommand:dump" help:"print the state of an instance, or of all"`
	Generate  *ctlGenerateCommand  `arg:"subcommand:generate" help:"stream an answer as a caller would"`
	Call      *ctlCallCommand      `arg:"subcommand:call" help:"call a plain service as a caller would"`
	Check     *ctlCheckCommand     `arg:"subcommand:check" help:"check a configuration of routes before it is sent, and compare it with the one in force"`
	Reference *ctlReferenceCommand `arg:"subcommand:reference" help:"print docs/COMMANDS.md"`
}

// ctlSubcommands are the subcommands of ctl.
var ctlSubcommands = []string{"run", "watch", "dump", "generate", "call", "check", "reference"}

// ctlFlagsWithValue are the flags of ctl that take the next argument as value.
var ctlFlagsWithValue = []string{"--address", "--token", "--output", "--wait", "--id", "--read-revision", "--file", "--define", "--in-force"}

// ctlArguments adds the subcommand "run" where none is named, so that
// "ctl show regions" runs a command.
func ctlArguments(arguments []string) []string {
	if len(arguments) == 0 || arguments[0] != "ctl" {
		return arguments
	}
	rest := arguments[1:]
	for i := 0; i < len(rest); i++ {
		switch {
		case slices.Contains(ctlFlagsWithValue, rest[i]):
			i++
		case strings.HasPrefix(rest[i], "-"):
			if rest[i] == "--help" || rest[i] == "-h" {
				return arguments
			}
		case slices.Contains(ctlSubcommands, rest[i]):
			return arguments
		default:
			return slices.Concat([]string{"ctl", "run"}, rest)
		}
	}
	return slices.Concat([]string{"ctl", "run"}, rest)
}

// ctlRunCommand runs one command, a script or a prompt.
type ctlRunCommand struct {
	ID     string   `arg:"--id" help:"id of an earlier command to repeat"`
	Read   uint64   `arg:"--read-revision" help:"revision that the command with --id was evaluated on"`
	File   string   `arg:"--file" help:"script to run"`
	Define []string `arg:"--define,separate" help:"name=value: replaces $name in a script"`
	Local  bool     `arg:"--local" help:"same as --local at the end of a drain command"`
	Words  []string `arg:"positional" help:"one command; without one, a script is read from standard input, or a prompt is shown"`
}

func (c *ctlCommand) run() int {
	if c.Output != ctl.OutputTable && c.Output != ctl.OutputJSON {
		_, _ = fmt.Fprintln(os.Stderr, "--output must be table or json")
		return ctl.ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	switch {
	case c.Watch != nil:
		return c.Watch.run(ctx, c)
	case c.Dump != nil:
		return c.Dump.run(ctx, c)
	case c.Generate != nil:
		return c.Generate.run(ctx)
	case c.Call != nil:
		return c.Call.run(ctx)
	case c.Check != nil:
		return c.Check.run(c.Output)
	case c.Reference != nil:
		fmt.Print(command.Reference())
		return ctl.ExitOK
	default:
		return c.Run.run(ctx, c)
	}
}

func (c *ctlCommand) session(id string, readRevision uint64) *ctl.Session {
	return ctl.NewSession(ctl.Options{
		Addresses: c.Addresses, Token: c.Token, Output: c.Output, Wait: c.Wait, ID: id, ReadRevision: readRevision,
		Writer: os.Stdout, ErrorWriter: os.Stderr,
	})
}

func (c *ctlRunCommand) run(ctx context.Context, parent *ctlCommand) int {
	session := parent.session(c.ID, c.Read)
	switch {
	case len(c.Words) > 0:
		text := strings.Join(c.Words, " ")
		if c.Local {
			text += " --local"
		}
		return session.Run(ctx, text)
	case c.File != "":
		script, err := os.ReadFile(c.File)
		if err != nil {
			return fail(err, ctl.ExitUsage)
		}
		return session.RunScript(ctx, ctl.Substitute(string(script), c.Define))
	case isTerminal(os.Stdin):
		return session.Prompt(ctx, os.Stdin)
	default:
		script, err := io.ReadAll(os.Stdin)
		if err != nil {
			return fail(err, ctl.ExitFailure)
		}
		return session.RunScript(ctx, string(script))
	}
}

// isTerminal reports whether a file is a terminal.
func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// ctlReferenceCommand prints docs/COMMANDS.md.
type ctlReferenceCommand struct{}
