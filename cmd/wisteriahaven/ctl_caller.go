package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/wisteriahaven/wisteriahaven/client"
	"github.com/wisteriahaven/wisteriahaven/ctl"
	"github.com/wisteriahaven/wisteriahaven/transport/caller"
)

// callerFlags are the flags of the tools that act as a caller.
type callerFlags struct {
	Callers []string `arg:"--callers,separate,env:WISTERIAHAVEN_CALLERS" help:"callers' address of an entry instance; may be repeated"`
	Key     string   `arg:"--key,env:WISTERIAHAVEN_KEY" help:"bearer key of the client account"`
	IDKey   string   `arg:"--idempotency-key" help:"idempotency key of the request"`
}

func (f *callerFlags) client() (*client.Client, bool) {
	if len(f.Callers) == 0 {
		_, _ = fmt.Fprintln(os.Stderr, "--callers: at least one address is needed")
		return nil, false
	}
	return client.New(client.Options{Addresses: f.Callers, Key: f.Key}), true
}

// ctlGenerateCommand streams an answer.
type ctlGenerateCommand struct {
	callerFlags
	Model     string   `arg:"--model,required" help:"model to ask"`
	Version   string   `arg:"--model-version" help:"version of the model"`
	MaxTokens int      `arg:"--max-tokens" default:"200" help:"bound on the answer in tokens"`
	Prompt    []string `arg:"positional,required" help:"the prompt"`
}

func (c *ctlGenerateCommand) run(ctx context.Context) int {
	calls, ok := c.client()
	if !ok {
		return ctl.ExitUsage
	}
	generation := client.Generation{
		CompletionBody: caller.CompletionBody{Model: c.Model, Version: c.Version, Prompt: strings.Join(c.Prompt, " "), MaxTokens: c.MaxTokens},
		IdempotencyKey: c.IDKey,
		SendDelivered:  true,
	}
	answer, err := calls.Generate(ctx, generation, func(_ int, text string) { fmt.Print(text) })
	fmt.Println()
	_, _ = fmt.Fprintf(os.Stderr, "%d tokens, model version %s, %d resumes, longest gap %s, request %s\n",
		len(answer.Tokens), answer.Version, answer.Resumes, answer.LongestTokenInterval, strings.Join(answer.RequestIDs, " "))
	if err != nil {
		return fail(err, ctl.ExitFailure)
	}
	return ctl.ExitOK
}

// ctlCallCommand calls a plain service.
type ctlCallCommand struct {
	callerFlags
	Service   string `arg:"positional,required" help:"service to call"`
	Operation string `arg:"positional,required" help:"operation of the service"`
	Body      string `arg:"positional" default:"{}" help:"body of the call"`
}

func (c *ctlCallCommand) run(ctx context.Context) int {
	calls, ok := c.client()
	if !ok {
		return ctl.ExitUsage
	}
	answer, err := calls.Call(ctx, client.Call{Service: c.Service, Operation: c.Operation, IdempotencyKey: c.IDKey, Body: []byte(c.Body)})
	if err != nil {
		return fail(err, ctl.ExitFailure)
	}
	fmt.Println(string(answer.Body))
	_, _ = fmt.Fprintln(os.Stderr, "request "+answer.RequestID)
	if answer.Replayed {
		_, _ = fmt.Fprintln(os.Stderr, "the recorded answer of an earlier submission")
	}
	return ctl.ExitOK
}
