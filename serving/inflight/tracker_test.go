package inflight_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/serving/explain"
	"github.com/wisteriahaven/wisteriahaven/serving/inflight"
)

// scriptedGenerator is a generator whose server fails after one token.
type scriptedGenerator struct {
	recorder serving.Recorder
	clock    *time.Time
	inspect  func()
}

func (s scriptedGenerator) Generate(_ context.Context, request serving.GenerationRequest, writer serving.AnswerWriter) (serving.AnswerEnd, error) {
	s.recorder.Record(serving.Decision{Subject: request.RequestID, Kind: "route", Server: "a"})
	_ = writer.Begin(request.Model, "v1", 1)
	_ = writer.Token(serving.Token{})
	*s.clock = s.clock.Add(700 * time.Millisecond)
	s.recorder.Record(serving.Decision{Subject: request.RequestID, Kind: "resumed", Server: "b"})
	_ = writer.Token(serving.Token{Offset: 1})
	s.inspect()
	return serving.AnswerEnd{}, fault.New(fault.GenerationIncomplete, "")
}

type discardWriter struct{ serving.AnswerWriter }

func (discardWriter) Begin(string, string, uint64) error { return nil }
func (discardWriter) Token(serving.Token) error          { return nil }

func TestTrackerListsAGenerationAndMeasuresItsResumption(t *testing.T) {
	is := is.New(t)
	clock := time.Unix(0, 0)
	registry := metrics.NewRegistry()
	tracker := inflight.NewTracker(registry, func() time.Time { return clock })
	inspect := func() {
		running := tracker.Generations()
		is.Equal(len(running), 1)
		is.Equal(running[0].Server, "b")
		is.Equal(running[0].Attempt, 2)
		is.Equal(running[0].Tokens, 2)
		is.Equal(running[0].Version, "v1")
	}
	recorder := tracker.Recorder(explain.NewRecorder(10))
	generator := tracker.Generator(scriptedGenerator{recorder, &clock, inspect}, recorder)
	_, err := generator.Generate(t.Context(), serving.GenerationRequest{RequestID: "r1", Model: "m"}, discardWriter{})
	is.True(err != nil)
	is.Equal(len(tracker.Generations()), 0)
	decisions := recorder.Explain("r1")
	is.Equal(decisions[0].Kind, "begin")
	is.Equal(decisions[len(decisions)-1].Reason, "failed: generation_incomplete")
	is.Equal(registry.Get(inflight.MetricResumeLatency).(metrics.Histogram).Max(), int64(700))
	is.Equal(registry.Get(inflight.MetricFailed+"generation_incomplete").(metrics.Counter).Count(), int64(1))
	is.Equal(registry.Get(inflight.MetricTokens).(metrics.Counter).Count(), int64(2))
}
