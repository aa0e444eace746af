package generation_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/serving/explain"
	"github.com/wisteriahaven/wisteriahaven/serving/generation"
	"github.com/wisteriahaven/wisteriahaven/serving/guard"
	"github.com/wisteriahaven/wisteriahaven/settings"
	standin "github.com/wisteriahaven/wisteriahaven/standin/engine"
	"github.com/wisteriahaven/wisteriahaven/transport/engine"
)

const (
	answerTokens     = 50
	tokensBeforeSlow = 10
	gracePeriod      = 300 * time.Millisecond
)

// oneServer routes every request to one server.
type oneServer struct{ server estate.BackendServer }

func (r oneServer) Route(request serving.RouteRequest) (serving.Route, error) {
	if slices.Contains(request.Exclude, r.server.Name) {
		return serving.Route{}, fault.New(fault.NoBackendServer, "none left")
	}
	return serving.Route{
		Server: r.server, Reason: "only one", SameDataCentre: true, SameRegion: true,
		Done: func(serving.AttemptOutcome) {}, Transferred: func(int) {},
	}, nil
}

// limitedCaller accepts limit tokens, all if 0, and then is too slow.
type limitedCaller struct {
	limit   int
	tokens  []string
	cursors []string
}

func (r *limitedCaller) Begin(string, string, uint64) error { return nil }
func (r *limitedCaller) Restart() error                     { return nil }
func (r *limitedCaller) KeepAlive() error                   { return nil }

func (r *limitedCaller) Token(token serving.Token) error {
	if r.limit > 0 && len(r.tokens) == r.limit {
		return fault.New(fault.CallerTooSlow, "the buffer is full")
	}
	r.tokens = append(r.tokens, token.Text)
	r.cursors = append(r.cursors, token.Cursor)
	return nil
}

func newGenerator(t *testing.T) (*generation.Generator, *standin.Engine) {
	t.Helper()
	server, err := standin.Start(standin.Settings{Name: "one", Model: "m", Version: "v1", TokenTime: 2 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	keys, err := cursor.NewKeys(settings.KeyRing{Active: "k", Keys: []settings.Key{{ID: "k", Secret: strings.Repeat("0f", 32)}}})
	if err != nil {
		t.Fatal(err)
	}
	generator := generation.New(generation.Parts{
		Router: oneServer{estate.BackendServer{Name: "one", Address: server.Address(), Model: "m", Version: "v1"}},
		Guard:  guard.AllowAll{}, Recorder: explain.NewRecorder(100), Engines: engine.NewClient(),
		Cursors: keys, Logger: zerolog.Nop(),
	})
	t.Cleanup(func() {
		generator.Close()
		server.Stop()
	})
	return generator, server
}

func request(prompt string) serving.GenerationRequest {
	seed := uint64(1)
	return serving.GenerationRequest{
		RequestID: "r", Key: "k", Model: "m", Prompt: prompt, MaxTokens: answerTokens, Seed: &seed,
		Service: estate.Service{Name: "s", Recovery: estate.Recovery{GracePeriod: estate.Duration(gracePeriod)}, Deadline: estate.Duration(time.Minute)},
	}
}

func expectedAnswer(prompt string) []string {
	return standin.Answer{Model: "m", Version: "v1", Prompt: prompt, Seed: 1, MaxTokens: answerTokens}.Tokens(nil)
}

func TestSlowCallerResumesFromItsLastCursor(t *testing.T) {
	is := is.New(t)
	generator, server := newGenerator(t)
	slow := &limitedCaller{limit: tokensBeforeSlow}
	_, err := generator.Generate(context.Background(), request("slow"), slow)
	is.True(fault.HasCode(err, fault.CallerTooSlow))
	is.Equal(generator.Status().Detached, 1)
	is.Equal(generator.Status().Retained.Answers, 1)

	again := request("slow")
	again.Cursor = slow.cursors[len(slow.cursors)-1]
	rest := &limitedCaller{}
	end, err := generator.Generate(context.Background(), again, rest)
	is.NoErr(err)
	is.Equal(end.Tokens, answerTokens)
	is.True(slices.Equal(append(slow.tokens, rest.tokens...), expectedAnswer("slow")))
	is.Equal(server.Counters().Started, 1) // the same engine stream
	is.Equal(generator.Status().Detached, 0)
	is.Equal(generator.Status().Retained.Answers, 0)
}

func TestRetainedAnswerNeedsNoReplay(t *testing.T) {
	is := is.New(t)
	generator, server := newGenerator(t)
	slow := &limitedCaller{limit: tokensBeforeSlow}
	_, err := generator.Generate(context.Background(), request("kept"), slow)
	is.True(fault.HasCode(err, fault.CallerTooSlow))
	server.Stop()
	is.NoErr(server.Restart())
	computed := server.Counters().ComputedTokens

	again := request("kept")
	again.Cursor = slow.cursors[len(slow.cursors)-1]
	rest := &limitedCaller{}
	_, err = generator.Generate(context.Background(), again, rest)
	is.NoErr(err)
	is.True(slices.Equal(append(slow.tokens, rest.tokens...), expectedAnswer("kept")))
	is.Equal(server.Counters().ComputedTokens-computed, answerTokens-tokensBeforeSlow) // no token was computed twice
}

func TestStreamOfADisconnectedCallerIsCancelledAfterItsGracePeriod(t *testing.T) {
	is := is.New(t)
	generator, server := newGenerator(t)
	long := request("absent")
	long.MaxTokens = 1 << 16
	ctx, cancel := context.WithCancel(context.Background())
	disconnected := &limitedCaller{}
	go func() {
		for server.Counters().ComputedTokens < tokensBeforeSlow {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := generator.Generate(ctx, long, disconnected)
	is.True(fault.HasCode(err, fault.CallerDisconnected))
	is.Equal(server.Counters().Cancelled, 0)
	for server.Counters().Cancelled == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(generator.Status().Detached, 0)
}

func TestCursorOfAnotherRequestIsRefused(t *testing.T) {
	is := is.New(t)
	generator, _ := newGenerator(t)
	slow := &limitedCaller{limit: tokensBeforeSlow}
	_, err := generator.Generate(context.Background(), request("mine"), slow)
	is.True(err != nil)
	last := slow.cursors[len(slow.cursors)-1]

	other := request("other")
	other.Cursor = last
	_, err = generator.Generate(context.Background(), other, &limitedCaller{})
	is.True(fault.HasCode(err, fault.CursorMismatch))

	forged := request("mine")
	forged.Cursor = last[:len(last)-2] + "AA"
	_, err = generator.Generate(context.Background(), forged, &limitedCaller{})
	is.True(fault.HasCode(err, fault.CursorInvalid))

	wrongText := request("mine")
	wrongText.Cursor = last
	wrongText.Delivered = slices.Repeat([]string{"x"}, tokensBeforeSlow)
	_, err = generator.Generate(context.Background(), wrongText, &limitedCaller{})
	is.True(fault.HasCode(err, fault.CursorMismatch))
}
