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

// script is a generator that loses its server after one token.
type script struct {
	recorder serving.Recorder
	clock    *time.Time
	look     func()
}

func (s script) Generate(_ context.Context, request serving.GenerationRequest, writer serving.AnswerWriter) (serving.AnswerEnd, error) {
	s.recorder.Record(serving.Decision{Subject: request.RequestID, Kind: "route", Server: "a"})
	_ = writer.Begin(request.Model, "v1", 1)
	_ = writer.Token(serving.Token{})
	*s.clock = s.clock.Add(700 * time.Millisecond)
	s.recorder.Record(serving.Decision{Subject: request.RequestID, Kind: "resumed", Server: "b"})
	_ = writer.Token(serving.Token{Offset: 1})
	s.look()
	return serving.AnswerEnd{}, fault.New(fault.GenerationIncomplete, "")
}

type discard struct{ serving.AnswerWriter }

func (discard) Begin(string, string, uint64) error { return nil }
func (discard) Token(serving.Token) error          { return nil }

func TestTrackerShowsAGenerationAndMeasuresItsResume(t *testing.T) {
	is := is.New(t)
	clock := time.Unix(0, 0)
	registry := metrics.NewRegistry()
	tracker := inflight.NewTracker(registry, func() time.Time { return clock })
	look := func() {
		running := tracker.Generations()
		is.Equal(len(running), 1)
		is.Equal(running[0].Server, "b")
		is.Equal(running[0].Attempt, 2)
		is.Equal(running[0].Tokens, 2)
		is.Equal(running[0].Version, "v1")
	}
	recorder := tracker.Recorder(explain.NewRecorder(10))
	generator := tracker.Generator(script{recorder, &clock, look}, recorder)
	_, err := generator.Generate(t.Context(), serving.GenerationRequest{RequestID: "r1", Model: "m"}, discard{})
	is.True(err != nil)
	is.Equal(len(tracker.Generations()), 0)
	decisions := recorder.Explain("r1")
	is.Equal(decisions[0].Kind, "begin")
	is.Equal(decisions[len(decisions)-1].Reason, "failed: generation_incomplete")
	is.Equal(registry.Get(inflight.MetricResumeLatency).(metrics.Histogram).Max(), int64(700))
	is.Equal(registry.Get(inflight.MetricFailed+"generation_incomplete").(metrics.Counter).Count(), int64(1))
	is.Equal(registry.Get(inflight.MetricTokens).(metrics.Counter).Count(), int64(2))
}
