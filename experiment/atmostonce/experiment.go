package atmostonce

import (
	"context"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/internal/virtual"
)

// name is the name of the experiment.
const name = "at-most-once"

// Targets of the experiment.
const (
	maxDoubleRuns     = 0
	maxFalseNotRun    = 0
	maxWritesPerClaim = 1.0 / 20
	maxAdded95        = 100 * time.Millisecond
)

// Sizes at scale 1.
const (
	defaultSchedules = 40_000
	loadRate         = 500
	fullRate         = 3000
	loadLength       = 20 * time.Second
	// workers bounds the schedules that run at a time.
	workers = 4
)

// Experiment runs fault schedules and measures the cost of claims.
var Experiment = experiment.Experiment{
	Name:    name,
	Summary: "double runs and false not-run answers under faults, writes for each claim and added time",
	Run:     run,
}

func run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	schedules := max(1, int(defaultSchedules*options.Scale))
	faults := runSchedules(ctx, options.Seed, schedules)
	if ctx.Err() != nil {
		return experiment.Report{}, ctx.Err()
	}
	settings := claim.DefaultSettings()
	load := RunLoad(virtual.Seeded(options.Seed, 1<<40), settings, loadRate, claim.ShardsPerRegion, loadLength)
	report := experiment.Report{
		Experiment: name,
		Seed:       options.Seed,
		Settings: []experiment.Setting{
			{Name: "schedules", Value: strconv.Itoa(schedules)},
			{Name: "claims a second", Value: strconv.Itoa(loadRate)},
			{Name: "home regions", Value: "1"},
			{Name: "shards of a home region", Value: strconv.Itoa(claim.ShardsPerRegion)},
			{Name: "claim window", Value: settings.ClaimWindow.String()},
			{Name: "record window", Value: settings.RecordWindow.String()},
		},
		Figures: faults.figures(),
		Targets: []experiment.Target{
			experiment.AtMost("double runs", "runs", maxDoubleRuns, float64(faults.doubleRuns)),
			experiment.AtMost("false not-run answers", "answers", maxFalseNotRun, float64(faults.falseNotRun)),
			experiment.AtMost("platform writes for each claim", "writes", maxWritesPerClaim, load.WritesPerClaim()),
			experiment.AtMost("added time for 95 in 100", "ms", milliseconds(maxAdded95), milliseconds(load.AddedP95)),
		},
	}
	for _, shards := range []int{1, 2, 4, 8, 16} {
		report.Figures = append(report.Figures, shardFigures(options.Seed, settings, shards)...)
	}
	return report, nil
}

// shardFigures weighs a number of shards at today's rate and at the full one.
func shardFigures(seed uint64, settings claim.Settings, shards int) []experiment.Figure {
	var figures []experiment.Figure
	for _, rate := range []int{20, loadRate, fullRate} {
		load := RunLoad(virtual.Seeded(seed, 1<<41), settings, float64(rate), shards, loadLength/4)
		prefix := strconv.Itoa(rate) + " claims/s on " + strconv.Itoa(shards) + " shards: "
		figures = append(figures,
			experiment.Figure{Name: prefix + "writes for each claim", Value: load.WritesPerClaim(), Unit: "writes"},
			experiment.Figure{Name: prefix + "writes", Value: float64(load.Writes) / (loadLength / 4).Seconds(), Unit: "writes/s"},
			experiment.Figure{Name: prefix + "value of a write", Value: float64(load.Bytes) / float64(load.Writes), Unit: "bytes"},
			experiment.Figure{Name: prefix + "added time for 95 in 100", Value: milliseconds(load.AddedP95), Unit: "ms"},
		)
	}
	return figures
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// faultTotals sums up the schedules.
type faultTotals struct {
	mu                                 sync.Mutex
	doubleRuns, falseNotRun, wrong     int
	unhealed                           int
	answered, notRun, unknown, refused int
}

func runSchedules(ctx context.Context, seed uint64, schedules int) *faultTotals {
	totals := &faultTotals{}
	var wait sync.WaitGroup
	parallel := min(workers, runtime.GOMAXPROCS(0))
	for worker := range parallel {
		wait.Go(func() {
			for schedule := worker; schedule < schedules && ctx.Err() == nil; schedule += parallel {
				totals.add(RunSchedule(virtual.Seeded(seed, uint64(schedule))))
			}
		})
	}
	wait.Wait()
	return totals
}

func (t *faultTotals) add(result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.doubleRuns += result.DoubleRuns
	t.falseNotRun += result.FalseNotRun
	t.wrong += result.WrongAnswers
	if result.RecoveryFailure != "" {
		t.unhealed++
	}
	t.answered += result.Answers["answered"]
	t.notRun += result.Answers["not-run"]
	t.unknown += result.Answers["unknown"]
	t.refused += result.Answers["refused-here"]
}

func (t *faultTotals) figures() []experiment.Figure {
	return []experiment.Figure{
		{Name: "answers that no run of the key gave", Value: float64(t.wrong), Unit: "answers"},
		{Name: "schedules that did not heal", Value: float64(t.unhealed), Unit: "schedules"},
		{Name: "answered", Value: float64(t.answered), Unit: "answers"},
		{Name: "refused with not-run", Value: float64(t.notRun), Unit: "answers"},
		{Name: "refused with unknown", Value: float64(t.unknown), Unit: "answers"},
		{Name: "refused with refused-here", Value: float64(t.refused), Unit: "answers"},
	}
}
