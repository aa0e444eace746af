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
	// Output is OutputTable or OutputJSON.
	Output string
	// Wait bounds how long a change waits until it is in force everywhere.
	Wait time.Duration
	// ID is the id of the first change; a repeat of an earlier command. Empty
	// makes a new one for each change.
	ID string
	// ReadRevision is the revision that the command with the ID was evaluated
	// on; zero when it is not known.
	ReadRevision uint64
	// Writer takes the answers, ErrorWriter the failures.
	Writer      io.Writer
	ErrorWriter io.Writer
}

// The outputs of ctl.
const (
	OutputTable = "table"
	OutputJSON  = "json"
)

// callMargin is how much longer than its wait a command may take.
const callMargin = 25 * time.Second

// Session runs commands one after another. A change is conditional on the
// revision that the session last saw.
type Session struct {
	options Options
	// readRevision is the newest revision the session saw, zero before the
	// first.
	readRevision uint64
	id           string
}

// NewSession returns a session.
func NewSession(options Options) *Session {
	return &Session{options: options, id: options.ID, readRevision: options.ReadRevision}
}

// Run runs one command, prints the answer and returns the exit code.
func (s *Session) Run(ctx context.Context, text string) int {
	request, err := s.request(text)
	if err != nil {
		return s.fail(err, ExitUsage)
	}
	response, err := s.execute(ctx, request)
	if err != nil {
		return s.lost(request, err)
	}
	s.remember(response)
	s.print(response)
	return exitOf(response)
}

// request prepares a command with its id and files.
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

// execute tries the instances in turn. A repeat after a lost answer carries the
// same id, so that it is not a second command.
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

// remember keeps the newest revision seen. A conflict is not remembered: the
// operator reads again first.
func (s *Session) remember(response operatorapi.Response) {
	switch response.Outcome {
	case operatorapi.Answered, operatorapi.Applied, operatorapi.Unchanged:
		s.readRevision = max(s.readRevision, response.Revision)
	}
}

// lost reports that no instance answered.
func (s *Session) lost(request operatorapi.Request, err error) int {
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

// Dumps gathers the states of every instance, with their newest decisions,
// through the first that answers.
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

// Dump returns the state of one instance, "" for the first that answers.
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
