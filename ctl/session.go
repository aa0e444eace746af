package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"os"
	"time"

	"github.com/wisteriahaven/wisteriahaven/command"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
	"github.com/wisteriahaven/wisteriahaven/operatorclient"
)

// Options configure a session.
type Options struct {
	// Addresses are the operator addresses of entry instances, tried in turn.
	Addresses []string
	Token     string
	// Output is the output format, OutputTable or OutputJSON.
	Output string
	// Wait bounds how long a change waits until it is in force everywhere.
	Wait time.Duration
	// ID is the id of the first command, which repeats an earlier submission.
	// If it is empty, each command gets a new id.
	ID string
	// ReadRevision is the revision that the command with the ID was evaluated
	// on; zero when it is not known.
	ReadRevision uint64
	// Writer receives the results, ErrorWriter the failures.
	Writer      io.Writer
	ErrorWriter io.Writer
}

// The output formats of ctl.
const (
	OutputTable = "table"
	OutputJSON  = "json"
)

// callMargin is the time that a command may take in addition to its wait.
const callMargin = 25 * time.Second

// Session runs commands one after another. A change is conditional on the
// newest revision that it received. It is not safe for concurrent use.
type Session struct {
	options Options
	// readRevision is the newest revision that the session received, zero
	// before the first.
	readRevision uint64
	id           string
}

// NewSession returns a session.
func NewSession(options Options) *Session {
	return &Session{options: options, id: options.ID, readRevision: options.ReadRevision}
}

// Run runs one command, prints the response and returns the exit code.
func (s *Session) Run(ctx context.Context, text string) int {
	request, err := s.request(text)
	if err != nil {
		return s.fail(err, ExitUsage)
	}
	response, err := s.execute(ctx, request)
	if err != nil {
		return s.reportNoAnswer(request, err)
	}
	s.recordRevision(response)
	s.print(response)
	return exitCode(response)
}

// request returns the request of a command with its id and files.
func (s *Session) request(text string) (operatorapi.Request, error) {
	request := operatorapi.Request{Command: text, ID: s.id, Repeat: s.id != "", ReadRevision: s.readRevision, Wait: estate.Duration(s.options.Wait)}
	s.id = ""
	if request.ID == "" {
		request.ID = newID()
	}
	parsed, err := command.ParseOne(text)
	if err != nil {
		return request, err
	}
	if name := parsed.NamedFile(); name != "" {
		content, err := os.ReadFile(name)
		if err != nil {
			return request, fault.Wrap(fault.CommandInvalid, "ctl", "the file can't be read", err)
		}
		request.Files = command.Files{{Name: name, Content: content}}
	}
	return request, nil
}

// idBytes is the length of a new command id.
const idBytes = 8

func newID() string {
	random := make([]byte, idBytes)
	_, _ = rand.Read(random)
	return hex.EncodeToString(random)
}

// execute sends the request to the instances in turn until one answers. A repeat
// after a lost response has the same id, so that it is not applied twice.
func (s *Session) execute(ctx context.Context, request operatorapi.Request) (operatorapi.Response, error) {
	var response operatorapi.Response
	err := fault.Invalid("--address", "at least one operator address is needed")
	for _, address := range s.options.Addresses {
		client := operatorclient.New(address, s.options.Token)
		bounded, cancel := context.WithTimeout(ctx, s.options.Wait+callMargin)
		answered, failure := client.Execute(bounded, request)
		cancel()
		client.Close()
		if failure == nil {
			return answered, nil
		}
		err = fault.From(failure)
		request.Repeat = true
	}
	return response, err
}

// recordRevision records the newest revision received, except that of a
// conflict: the operator must read the configuration again first.
func (s *Session) recordRevision(response operatorapi.Response) {
	switch response.Outcome {
	case operatorapi.Answered, operatorapi.Applied, operatorapi.Unchanged:
		s.readRevision = max(s.readRevision, response.Revision)
	}
}

// reportNoAnswer prints that no instance answered and returns the exit code. The
// outcome of a change is unknown if an instance may have received it.
func (s *Session) reportNoAnswer(request operatorapi.Request, err error) int {
	parsed, parseErr := command.ParseOne(request.Command)
	if parseErr != nil || !parsed.IsChange() || !fault.HasCode(err, fault.CommandOutcomeUnknown) {
		return s.fail(err, ExitFailure)
	}
	s.print(operatorapi.Response{
		ID:            request.ID,
		Outcome:       operatorapi.Unknown,
		RepeatCommand: operatorapi.RepeatCommand(request.ID, request.ReadRevision, parsed.String()),
		Failure:       operatorapi.FailureOf(err),
	})
	return ExitUnknown
}

// Dumps returns the states of all instances, with up to the given number of
// their newest decisions, from the first instance that answers.
func (s *Session) Dumps(ctx context.Context, decisions int) (dump.Estate, error) {
	err := fault.Invalid("--address", "at least one operator address is needed")
	for _, address := range s.options.Addresses {
		client := operatorclient.New(address, s.options.Token)
		states, failure := client.Dumps(ctx, decisions)
		client.Close()
		if failure == nil {
			return states, nil
		}
		err = fault.From(failure)
	}
	return dump.Estate{}, err
}

// Dump returns the state of the named instance, or of the first that answers if
// the name is empty.
func (s *Session) Dump(ctx context.Context, instance string) (dump.Instance, error) {
	err := fault.Invalid("--address", "at least one operator address is needed")
	for _, address := range s.options.Addresses {
		client := operatorclient.New(address, s.options.Token)
		state, failure := client.PeerDump(ctx, instance)
		client.Close()
		if failure == nil {
			return state, nil
		}
		err = fault.From(failure)
	}
	return dump.Instance{}, err
}
