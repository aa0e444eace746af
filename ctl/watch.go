package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
	"github.com/wisteriahaven/wisteriahaven/serving/inflight"
)

// clearScreen moves to the top of a terminal and clears it.
const clearScreen = "\x1b[H\x1b[2J"

// WatchOptions configure Watch.
type WatchOptions struct {
	// Interval is the time between two looks.
	Interval time.Duration
	// Count ends the watch after as many looks; zero never does.
	Count int
	// Terminal refreshes in place; otherwise each look is one plain line.
	Terminal bool
}

// Watch shows the estate until the context ends.
func (s *Session) Watch(ctx context.Context, options WatchOptions) int {
	var previous *view
	for looks := 1; ; looks++ {
		states, err := s.Dumps(ctx, 0)
		if err != nil {
			return s.fail(err, ExitFailure)
		}
		current := newView(states, time.Now())
		if options.Terminal {
			_, _ = fmt.Fprint(s.options.Writer, clearScreen)
			current.writeScreen(s.options.Writer, previous)
		} else {
			current.writeLine(s.options.Writer, previous)
		}
		previous = current
		if looks == options.Count || !pause.For(ctx, options.Interval) {
			return ExitOK
		}
	}
}

// view is one look at the estate.
type view struct {
	time        time.Time
	states      dump.Estate
	ready       int
	inFlight    int
	oldest      uint64
	newest      uint64
	tokens      float64
	generations float64
	calls       float64
	resumes     float64
	latencyP95  float64
	latencyMax  float64
	refused     []dump.Counter
	leaving     []string
}

func newView(states dump.Estate, now time.Time) *view {
	v := &view{time: now, states: states}
	for i, instance := range states.Instances {
		if instance.Ready {
			v.ready++
		}
		v.inFlight += instance.InFlight
		v.newest = max(v.newest, instance.Revision)
		if i == 0 || instance.Revision < v.oldest {
			v.oldest = instance.Revision
		}
		for _, counter := range instance.Counters {
			v.add(counter)
		}
		for _, server := range instance.Servers {
			if server.State == dump.ServerLeaving && !slices.Contains(v.leaving, server.Name) {
				v.leaving = append(v.leaving, server.Name)
			}
		}
	}
	slices.Sort(v.leaving)
	return v
}

// add takes one counter of an instance: counts add up, latencies are the worst
// of the instances.
func (v *view) add(counter dump.Counter) {
	switch counter.Name {
	case inflight.MetricTokens:
		v.tokens += counter.Value
	case inflight.MetricGenerations:
		v.generations += counter.Value
	case inflight.MetricCalls:
		v.calls += counter.Value
	case inflight.MetricResumes:
		v.resumes += counter.Value
	case inflight.MetricResumeLatency + dump.SuffixP95:
		v.latencyP95 = max(v.latencyP95, counter.Value)
	case inflight.MetricResumeLatency + dump.SuffixMax:
		v.latencyMax = max(v.latencyMax, counter.Value)
	}
	if code, isRefusal := strings.CutPrefix(counter.Name, inflight.MetricFailed); isRefusal {
		v.addRefusal(code, counter.Value)
	}
}

func (v *view) addRefusal(code string, count float64) {
	for i := range v.refused {
		if v.refused[i].Name == code {
			v.refused[i].Value += count
			return
		}
	}
	v.refused = append(v.refused, dump.Counter{Name: code, Value: count})
}

// rate returns the growth a second of a count since the previous look.
func (v *view) rate(previous *view, count func(*view) float64) float64 {
	if previous == nil {
		return 0
	}
	return max(0, (count(v)-count(previous))/v.time.Sub(previous.time).Seconds())
}

func (v *view) tokenRate(previous *view) float64 {
	return v.rate(previous, func(v *view) float64 { return v.tokens })
}

func (v *view) generationRate(previous *view) float64 {
	return v.rate(previous, func(v *view) float64 { return v.generations })
}

func (v *view) callRate(previous *view) float64 {
	return v.rate(previous, func(v *view) float64 { return v.calls })
}

func (v *view) writeLine(out io.Writer, previous *view) {
	_, _ = fmt.Fprintf(out, "%s instances %d/%d ready, revision %d-%d, in flight %d, %.0f tokens/s, %.1f generations/s, %.1f calls/s, resumes %.0f, resume latency p95 %.0f ms, max %.0f ms, refused %s, leaving %s\n",
		v.time.UTC().Format(time.RFC3339), v.ready, len(v.states.Instances)+len(v.states.Missing), v.oldest, v.newest, v.inFlight,
		v.tokenRate(previous), v.generationRate(previous), v.callRate(previous), v.resumes, v.latencyP95, v.latencyMax, v.refusedText(), listText(v.leaving))
}

func (v *view) writeScreen(out io.Writer, previous *view) {
	line := func(label, format string, values ...any) {
		_, _ = fmt.Fprintf(out, "%-16s "+format+"\n", append([]any{label}, values...)...)
	}
	line("time", "%s", v.time.UTC().Format(time.RFC3339))
	line("instances", "%d of %d ready", v.ready, len(v.states.Instances)+len(v.states.Missing))
	line("revision", "%d to %d", v.oldest, v.newest)
	line("in flight", "%d requests", v.inFlight)
	line("rates", "%.0f tokens/s, %.1f generations/s, %.1f calls/s", v.tokenRate(previous), v.generationRate(previous), v.callRate(previous))
	line("resumes", "%.0f, latency p95 %.0f ms, max %.0f ms", v.resumes, v.latencyP95, v.latencyMax)
	line("refused", "%s", v.refusedText())
	line("leaving", "%s", listText(v.leaving))
	_, _ = fmt.Fprintf(out, "\n%-18s %-14s %-10s %9s %10s %8s\n", "instance", "data centre", "state", "revision", "in flight", "members")
	for _, instance := range v.states.Instances {
		state := "not ready"
		if instance.Stopping {
			state = "stopping"
		} else if instance.Drained {
			state = "drained"
		} else if instance.Ready {
			state = "ready"
		}
		_, _ = fmt.Fprintf(out, "%-18s %-14s %-10s %9d %10d %8d\n", instance.Instance, instance.DataCentre, state, instance.Revision, instance.InFlight, len(instance.Members))
	}
	for _, missing := range v.states.Missing {
		_, _ = fmt.Fprintf(out, "%-18s %-14s %s\n", missing.Instance, missing.DataCentre, "no answer")
	}
}

func (v *view) refusedText() string {
	texts := make([]string, len(v.refused))
	for i, refusal := range v.refused {
		texts[i] = fmt.Sprintf("%s %.0f", refusal.Name, refusal.Value)
	}
	return listText(texts)
}

func listText(items []string) string {
	if len(items) == 0 {
		return "none"
	}
	return strings.Join(items, ", ")
}
