package killingrequest

import (
	"context"
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/internal/virtual"
)

// name is the name of the experiment.
const name = "killing-request"

// Targets of the experiment.
const (
	maxServersLost      = 3
	maxInnocentsRefused = 0
)

// defaultSchedules is the number of schedules at scale 1.
const defaultSchedules = 60

// Experiment measures the servers lost to killing requests and the innocent
// requests refused.
var Experiment = experiment.Experiment{
	Name:    name,
	Summary: "servers lost to requests that end every server, and innocent requests refused",
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

// totals sums up the schedules.
type totals struct {
	killers, lost, mostLost   int
	refused, held, unanswered int
	killersRefused, answered  int
}

func (t *totals) add(result Result) {
	for _, lost := range result.CrashesPerPoisonRequest {
		t.killers++
		t.lost += lost
	}
	t.mostLost = max(t.mostLost, result.MaxCrashes())
	t.refused += result.HarmlessRefused
	t.held += result.HarmlessDeferred
	t.unanswered += result.Unanswered
	t.killersRefused += result.PoisonRefused
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
			{Name: "killing requests", Value: float64(t.killers), Unit: "requests"},
			{Name: "servers lost per killing request, mean", Value: float64(t.lost) / float64(max(1, t.killers)), Unit: "servers"},
			{Name: "killing submissions refused", Value: float64(t.killersRefused), Unit: "submissions"},
			{Name: "innocent requests answered", Value: float64(t.answered), Unit: "requests"},
			{Name: "innocent requests told to come back later", Value: float64(t.held), Unit: "requests"},
			{Name: "innocent requests without an answer", Value: float64(t.unanswered), Unit: "requests"},
		},
		Targets: []experiment.Target{
			experiment.AtMost("servers lost per killing request, most", "servers", maxServersLost, float64(t.mostLost)),
			experiment.AtMost("innocent requests refused", "requests", maxInnocentsRefused, float64(t.refused)),
		},
	}
}
