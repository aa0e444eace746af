package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/wisteriahaven/wisteriahaven/experiment"
)

// The design's bounds of the control cost of one node and of a change, and the full size.
const (
	controlBytesPerSecond  = 8 * 1024
	controlProcessor       = 0.034 * 1000
	controlMemoryKilobytes = 128 * 1024
	// centreInstances is the number of instances of a data centre at full
	// size: 2,400 over 13.
	centreInstances = 185
	fullServers     = 10_000
	fullAccounts    = 880
	// inForceSeconds bounds the time until a change is in force on every instance.
	inForceSeconds = 3
	// standingCalls bounds the platform calls of a data centre that wait for the next change.
	standingCalls = 5
)

// defaultSpan is how long each point of the exchange is measured at scale 1.
const defaultSpan = 10 * time.Second

// Experiment measures every slope.
var Experiment = experiment.Experiment{
	Name:    "slopes",
	Summary: "control cost of a node against instances, servers, accounts and changes",
	Run:     run,
}

func run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	span := time.Duration(float64(defaultSpan) * options.Scale)
	report := experiment.Report{
		Experiment: "slopes",
		Seed:       options.Seed,
		Settings:   []experiment.Setting{{Name: "span of a point", Value: fmt.Sprint(span)}},
	}
	servers, err := measureServers(ctx, []int{1000, 3000, fullServers})
	if err != nil {
		return experiment.Report{}, err
	}
	accounts, err := measureAccounts(ctx, []int{100, 300, fullAccounts})
	if err != nil {
		return experiment.Report{}, err
	}
	report.Figures = append(servers.figures(), accounts.figures()...)
	report.Targets = append(report.Targets, changeTargets(servers)...)
	spread, err := measureSpread(ctx, []int{4, 16, 64}, options.Seed)
	if err != nil {
		return experiment.Report{}, err
	}
	report.Figures = append(report.Figures, spread.figures()...)
	report.Targets = append(report.Targets, spreadTargets(spread)...)
	exchange, err := measureExchange(ctx, []int{4, 16, 64, centreInstances}, span, options.Seed)
	if err != nil {
		return experiment.Report{}, err
	}
	report.Figures = append(report.Figures, exchange.figures()...)
	full := exchange.points[len(exchange.points)-1].cost
	report.Targets = append(report.Targets,
		experiment.AtMost("exchange at 185 instances: bytes both ways", "B/s", controlBytesPerSecond, full[0]),
		experiment.AtMost("exchange at 185 instances: processor time", "ms/s", controlProcessor, full[1]),
		experiment.AtMost("exchange at 185 instances: memory", "KB", controlMemoryKilobytes, full[2]),
	)
	return report, nil
}

// changeTargets compares the cost of a day's changes, evenly distributed over the day, with the
// bounds of a node. Bytes count twice, as a node receives each difference and also sends it on
// once on average.
func changeTargets(servers series) []experiment.Target {
	full := servers.points[len(servers.points)-1].cost
	perSecond := 1 / changePeriod.Seconds()
	return []experiment.Target{
		experiment.AtMost("6,100 changes a day of 10,000 servers: processor time", "ms/s", controlProcessor, full[0]*perSecond),
		experiment.AtMost("6,100 changes a day of 10,000 servers: bytes both ways", "B/s", controlBytesPerSecond, 2*full[1]*perSecond),
		experiment.AtMost("copy of 10,000 servers: memory", "KB", controlMemoryKilobytes, full[2]),
	}
}

// spreadTargets compares the largest fleet over sockets with the design's bounds.
func spreadTargets(spread series) []experiment.Target {
	largest := spread.points[len(spread.points)-1].cost
	return []experiment.Target{
		experiment.AtMost("64 instances over sockets: worst time until in force everywhere", "s", inForceSeconds, largest[0]),
		experiment.AtMost("64 instances over sockets: waiting platform calls", "calls", standingCalls, largest[1]),
	}
}
