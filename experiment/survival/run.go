package survival

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/load"
	"github.com/wisteriahaven/wisteriahaven/standin/engine"
	"github.com/wisteriahaven/wisteriahaven/standin/loopback"
)

// Experiment checks every answer and call while parts of an estate fail.
var Experiment = experiment.Experiment{
	Name:    "survival",
	Summary: "answers and calls while engines, instances, a data centre and the platform are lost, over real sockets",
	Run:     run,
}

func run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	estate, err := loopback.Start(loopback.Options{
		Directory:   directory,
		Engine:      engine.Settings{TokenTime: tokenTime},
		LimitPeriod: limitReportPeriod,
		Logger:      zerolog.Nop(),
	})
	if err != nil {
		return experiment.Report{}, err
	}
	defer estate.Stop()
	broken := &faultInjector{estate: estate, random: rand.New(rand.NewPCG(options.Seed, 0))}
	faultContext, stopFaults := context.WithCancel(ctx)
	var wait sync.WaitGroup
	wait.Go(func() { broken.run(faultContext) })
	report, err := load.Run(ctx, load.Options{
		Addresses: estate.CallerAddresses(),
		Key:       estate.Keys.ClientAccounts[account],
		Model:     model,
		Rate:      generationsPerSecond,
		Duration:  time.Duration(float64(loadDuration) * max(options.Scale, 1)),
		Tokens:    answerTokens,
		CallRate:  callsPerSecond,
		Service:   service,
		Operation: operation,
		Verify:    true,
		Seed:      options.Seed,
	})
	stopFaults()
	wait.Wait()
	if err != nil {
		return experiment.Report{}, err
	}
	return buildReport(options, broken, report, runsByKey(estate)), nil
}

// runsByKey counts the executions of each call, by idempotency key, over all servers of plain
// services.
func runsByKey(estate *loopback.Estate) map[string]int {
	total := make(map[string]int)
	for _, server := range estate.Services {
		for key, runs := range server.Runs() {
			total[key] += runs
		}
	}
	return total
}

// unansweredByCode counts the calls without an answer by fault code.
func unansweredByCode(report *load.Report) map[fault.Code]int {
	counts := make(map[fault.Code]int)
	for _, outcome := range report.Calls {
		if !outcome.Answered {
			counts[outcome.Code]++
		}
	}
	return counts
}

// buildReport builds the report. Its targets are the guarantees to users: no answer is lost or
// wrong, no idempotency key runs twice, and a call reported as not run did not run.
func buildReport(options experiment.Options, broken *faultInjector, report *load.Report, runs map[string]int) experiment.Report {
	repeatedKeys, falseNotRun, answered, refused, unknown := 0, 0, 0, 0, 0
	for key, outcome := range report.Calls {
		switch {
		case runs[key] > 1:
			repeatedKeys++
		case outcome.Execution == fault.ExecutionNotRun && runs[key] > 0:
			falseNotRun++
		}
		switch {
		case outcome.Answered:
			answered++
		case outcome.Execution == fault.ExecutionUnknown:
			unknown++
		default:
			refused++
		}
	}
	failed := 0
	for _, count := range report.Failures {
		failed += count
	}
	settings := settingsUsed()
	for _, description := range broken.injected {
		settings = append(settings, experiment.Setting{Name: "fault", Value: description})
	}
	for code, count := range unansweredByCode(report) {
		settings = append(settings, experiment.Setting{Name: "calls refused with", Value: string(code) + ": " + strconv.Itoa(count)})
	}
	gap := float64(report.LongestTokenInterval.Max()) / float64(time.Second/time.Microsecond)
	return experiment.Report{
		Experiment: "survival",
		Seed:       options.Seed,
		Settings:   settings,
		Figures: []experiment.Figure{
			{Name: "complete answers", Value: float64(report.Complete), Unit: "answers"},
			{Name: "reconnections by callers", Value: float64(report.Resumes), Unit: "connections"},
			{Name: "longest gap between two tokens, 95% of answers", Value: float64(report.LongestTokenInterval.ValueAtQuantile(95)) / 1e6, Unit: "s"},
			{Name: "calls answered", Value: float64(answered), Unit: "calls"},
			{Name: "calls refused", Value: float64(refused), Unit: "calls"},
			{Name: "calls unknown", Value: float64(unknown), Unit: "calls"},
		},
		Targets: []experiment.Target{
			experiment.AtMost("generations lost", "answers", 0, float64(failed)),
			experiment.AtMost("answers with a wrong, missing or repeated token", "answers", 0, float64(len(report.WrongAnswers))),
			experiment.AtMost("longest gap between two tokens", "s", 5, gap),
			experiment.AtMost("keys that ran twice", "keys", 0, float64(repeatedKeys)),
			experiment.AtMost("false not-run", "keys", 0, float64(falseNotRun)),
		},
	}
}
