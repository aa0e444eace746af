package entry_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/client"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/standin/engine"
	"github.com/wisteriahaven/wisteriahaven/standin/loopback"
	"github.com/wisteriahaven/wisteriahaven/transport/caller"
)

// Sizes of the tests of failures.
const (
	failureTokens = 60
	failAt        = 20
	testModel     = "auskunft"
)

// failureEstate starts a small estate whose engines take 5 ms a token.
func failureEstate(t *testing.T, entries int, settings engine.Settings) *loopback.Estate {
	t.Helper()
	if settings.TokenTime == 0 {
		settings.TokenTime = 5 * time.Millisecond
	}
	estate, err := loopback.Start(loopback.Options{
		Directory: "../examples/bavaria", MaxEntries: entries, Engine: settings, Logger: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(estate.Stop)
	return estate
}

func failureClient(estate *loopback.Estate, addresses []string) *client.Client {
	return client.New(client.Options{Addresses: addresses, Key: estate.Keys.ClientAccounts["kaufhaus-isar-theke"]})
}

func failureRequest(prompt string) client.Generation {
	return client.Generation{
		CompletionBody: caller.CompletionBody{Model: testModel, Prompt: prompt, MaxTokens: failureTokens},
		IdempotencyKey: "audit",
	}
}

// serving returns the engines that run a stream.
func serving(estate *loopback.Estate) []*engine.Engine {
	var found []*engine.Engine
	for _, candidate := range estate.Engines {
		if candidate.Alive() && candidate.RunningStreams() > 0 {
			found = append(found, candidate)
		}
	}
	return found
}

// isWhole compares an answer with what the engines define.
func isWhole(t *testing.T, answer client.Answer, prompt string) {
	t.Helper()
	want := engine.Answer{
		Model: testModel, Version: answer.Version, Prompt: prompt, Seed: answer.Seed, MaxTokens: failureTokens,
	}.Tokens(nil)
	if !slices.Equal(answer.Tokens, want) {
		t.Fatalf("%d tokens differ from the %d right ones", len(answer.Tokens), len(want))
	}
}

// TestAnswerIsWholeWhenItsEngineFails breaks the engine of an answer in one
// way at a time; the caller's only connection carries the whole answer.
func TestAnswerIsWholeWhenItsEngineFails(t *testing.T) {
	failures := map[string]func(*engine.Engine){
		"death":             func(e *engine.Engine) { e.Kill() },
		"silent connection": func(e *engine.Engine) { e.SilenceConnections() },
		"broken connection": func(e *engine.Engine) { e.CloseConnections() },
		"pause":             func(e *engine.Engine) { e.Pause() },
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			estate := failureEstate(t, 1, engine.Settings{})
			var once sync.Once
			answer, err := failureClient(estate, estate.CallerAddresses()).Generate(context.Background(), failureRequest(name), func(offset int, _ string) {
				if offset == failAt {
					once.Do(func() { fail(serving(estate)[0]) })
				}
			})
			is.NoErr(err)
			is.Equal(answer.Resumes, 0)
			isWhole(t, answer, name)
			for _, e := range estate.Engines {
				e.Unpause()
			}
		})
	}
}

func TestAnswerIsWholeWhenItsEngineDiesInPrefill(t *testing.T) {
	is := is.New(t)
	estate := failureEstate(t, 1, engine.Settings{PrefillTimePerToken: 2 * time.Millisecond})
	prompt := strings.Repeat("a long audit of every counter ", 40)
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() {
		for ctx.Err() == nil {
			if running := serving(estate); len(running) > 0 {
				running[0].Kill()
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	answer, err := failureClient(estate, estate.CallerAddresses()).Generate(ctx, failureRequest(prompt), nil)
	cancel()
	wait.Wait()
	is.NoErr(err)
	is.Equal(answer.Resumes, 0)
	isWhole(t, answer, prompt)
}

func TestAnswerIsWholeWhenTheEndIsLost(t *testing.T) {
	is := is.New(t)
	estate := failureEstate(t, 1, engine.Settings{})
	for _, e := range estate.Engines {
		e.SetFaults(engine.Faults{BreakBeforeDone: 1, ForgetStreams: true})
	}
	answer, err := failureClient(estate, estate.CallerAddresses()).Generate(context.Background(), failureRequest("end"), nil)
	is.NoErr(err)
	isWhole(t, answer, "end")
}

// TestAnswerIsWholeWhenItsInstanceDies continues at another instance, which
// finds the engine's stream, or has to continue or replay it.
func TestAnswerIsWholeWhenItsInstanceDies(t *testing.T) {
	for name, test := range map[string]struct{ text, engineToo bool }{
		"alone":                         {},
		"with the text":                 {text: true},
		"and the engine, with the text": {text: true, engineToo: true},
		"and the engine, without text":  {engineToo: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			estate := failureEstate(t, 2, engine.Settings{})
			request := failureRequest(name)
			request.SendDelivered = test.text
			var once sync.Once
			var wait sync.WaitGroup
			answer, err := failureClient(estate, estate.CallerAddresses()).Generate(context.Background(), request, func(offset int, _ string) {
				if offset != failAt {
					return
				}
				once.Do(func() {
					if test.engineToo {
						serving(estate)[0].Kill()
					}
					wait.Go(estate.Entries[0].Abort)
				})
			})
			wait.Wait()
			is.NoErr(err)
			is.True(answer.Resumes > 0)
			is.Equal(answer.Restarts, 0)
			isWhole(t, answer, name)
		})
	}
}

// TestReplayThatDiffersIsNeverSpliced loses instance and engine where engines
// ignore the seed: the caller gets a typed error, or a restart and then a whole
// answer.
func TestReplayThatDiffersIsNeverSpliced(t *testing.T) {
	for _, reaction := range []string{"error", "restart"} {
		t.Run(reaction, func(t *testing.T) {
			is := is.New(t)
			estate := failureEstate(t, 2, engine.Settings{Salt: 7})
			request := failureRequest("differs")
			request.OnMismatch = "error"
			if reaction == "restart" {
				request.OnMismatch = "restart"
			}
			var once sync.Once
			var wait sync.WaitGroup
			answer, err := failureClient(estate, estate.CallerAddresses()).Generate(context.Background(), request, func(offset int, _ string) {
				if offset != failAt {
					return
				}
				once.Do(func() {
					serving(estate)[0].Kill()
					wait.Go(estate.Entries[0].Abort)
				})
			})
			wait.Wait()
			if reaction == "error" {
				is.True(fault.HasCode(err, fault.GenerationMismatch))
				is.Equal(fault.From(err).Execution, fault.ExecutionPartial)
				is.True(len(answer.Tokens) > 0)
				return
			}
			is.NoErr(err)
			is.Equal(answer.Restarts, 1)
			is.Equal(len(answer.Tokens), failureTokens)
		})
	}
}
