package killingrequest

import (
	"context"
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/internal/virtual"
)

// name identifies the experiment in the list of experiments and in reports.
const name = "killing-request"

// Targets of the experiment.
const (
	maxServersCrashed  = 3
	maxHarmlessRefused = 0
)

// defaultSchedules is the number of schedules at scale 1.
const defaultSchedules = 60

// Experiment counts the servers that poison requests crash and the harmless
// requests that are refused.
var Experiment = experiment.Experiment{
	Name:    name,
	Summary: "servers crashed by poison requests, and harmless requests refused",
	Run:     run,
}

func run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	settings := DefaultSettings()
	schedules := max(1, int(defaultSchedules*options.Scale))
	var total totals
	for schedule := range schedules {
		if ctx.Err() != nil {
			return experiment.Report{}, ctx.Err()
		}
		total.add(RunSchedule(virtual.Seeded(options.Seed, uint64(schedule)), settings))
	}
	return total.report(options.Seed, schedules, settings), nil
}

// totals holds the sums of the results of all schedules, and the maximum of crashes.
type totals struct {
	poisonRequests, crashed, maxCrashed int
	refused, deferred, unanswered       int
	poisonRefused, answered             int
}

func (t *totals) add(result Result) {
	for _, crashed := range result.CrashesPerPoisonRequest {
		t.poisonRequests++
		t.crashed += crashed
	}
	t.maxCrashed = max(t.maxCrashed, result.MaxCrashes())
	t.refused += result.HarmlessRefused
	t.deferred += result.HarmlessDeferred
	t.unanswered += result.Unanswered
	t.poisonRefused += result.PoisonRefused
	t.answered += result.Answered
}

func (t *totals) report(seed uint64, schedules int, settings Settings) experiment.Report {
	return experiment.Report{
		Experiment: name,
		Seed:       seed,
		Settings: []experiment.Setting{
			{Name: "schedules", Value: strconv.Itoa(schedules)},
			{Name: "instances", Value: strconv.Itoa(settings.Instances)},
			{Name: "servers", Value: strconv.Itoa(settings.Servers)},
			{Name: "killing requests a schedule", Value: strconv.Itoa(settings.PoisonRequests)},
			{Name: "racks lost a schedule", Value: strconv.Itoa(settings.RackFailures)},
			{Name: "digest interval", Value: settings.DigestInterval.String()},
			{Name: "shortest resend of a caller", Value: settings.MinSecondSendDelay.String()},
		},
		Figures: []experiment.Figure{
			{Name: "killing requests", Value: float64(t.poisonRequests), Unit: "requests"},
			{Name: "servers lost per killing request, mean", Value: float64(t.crashed) / float64(max(1, t.poisonRequests)), Unit: "servers"},
			{Name: "killing submissions refused", Value: float64(t.poisonRefused), Unit: "submissions"},
			{Name: "innocent requests answered", Value: float64(t.answered), Unit: "requests"},
			{Name: "innocent requests told to come back later", Value: float64(t.deferred), Unit: "requests"},
			{Name: "innocent requests without an answer", Value: float64(t.unanswered), Unit: "requests"},
		},
		Targets: []experiment.Target{
			experiment.AtMost("servers lost per killing request, most", "servers", maxServersCrashed, float64(t.maxCrashed)),
			experiment.AtMost("innocent requests refused", "requests", maxHarmlessRefused, float64(t.refused)),
		},
	}
}
