package inflight

import (
	"context"
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// generator is a serving.Generator that registers its generations with the
// tracker.
type generator struct {
	next     serving.Generator
	recorder serving.Recorder
	tracker  *Tracker
}

// Generator wraps a generator so that its generations are tracked and their begin
// and end recorded.
func (t *Tracker) Generator(next serving.Generator, recorder serving.Recorder) serving.Generator {
	return generator{next, recorder, t}
}

// Generate implements serving.Generator.
func (g generator) Generate(ctx context.Context, request serving.GenerationRequest, writer serving.AnswerWriter) (serving.AnswerEnd, error) {
	running := &generation{Generation: dump.Generation{
		RequestID:     request.RequestID,
		ClientAccount: request.Account.Name,
		Service:       request.Service.Name,
		Model:         request.Model,
		Version:       request.Version,
	}}
	g.tracker.beginGeneration(running)
	defer g.tracker.endGeneration(running)
	g.recorder.Record(serving.Decision{Subject: request.RequestID, Kind: kindBegin, Reason: "client account " + request.Account.Name + ", service " + request.Service.Name + ", model " + request.Model})
	end, err := g.next.Generate(ctx, request, answerWriter{writer, g.tracker, running})
	g.tracker.countFailure(err)
	g.recorder.Record(endDecision(request.RequestID, "the answer is complete: "+strconv.Itoa(end.Tokens)+" tokens", err))
	return end, err
}

func (t *Tracker) beginGeneration(running *generation) {
	t.count(MetricGenerations)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.generations[running.RequestID] = running
}

func (t *Tracker) endGeneration(running *generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.generations[running.RequestID] == running {
		delete(t.generations, running.RequestID)
	}
}

// answerWriter updates the tracked generation when it writes to the caller.
type answerWriter struct {
	serving.AnswerWriter
	tracker *Tracker
	running *generation
}

// Begin implements serving.AnswerWriter.
func (w answerWriter) Begin(model, version string, seed uint64) error {
	w.tracker.setVersion(w.running, version)
	return w.AnswerWriter.Begin(model, version, seed)
}

// Token implements serving.AnswerWriter.
func (w answerWriter) Token(token serving.Token) error {
	w.tracker.countToken(w.running)
	return w.AnswerWriter.Token(token)
}

func (t *Tracker) setVersion(running *generation, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running.Version = version
}

func (t *Tracker) countToken(running *generation) {
	now := t.now()
	t.count(MetricTokens)
	t.mu.Lock()
	defer t.mu.Unlock()
	running.Tokens++
	running.lastToken = now
}
