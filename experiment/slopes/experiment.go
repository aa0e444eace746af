package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/wisteriahaven/wisteriahaven/experiment"
)

// The design's bounds of the control cost of one node and of a change, and the full size.
const (
	controlBytesPerSecond       = 8 * 1024
	controlProcessorMsPerSecond = 0.034 * 1000
	controlMemoryKilobytes      = 128 * 1024
	// dataCentreInstances is the number of instances of a data centre at full size: 2,400 over
	// 13.
	dataCentreInstances = 185
	fullSizeServers     = 10_000
	fullSizeAccounts    = 880
	// maxInForceSeconds bounds the time until a change is in force on every instance.
	maxInForceSeconds = 3
	// maxWaitingCalls bounds the platform calls of a data centre that wait for the next change.
	maxWaitingCalls = 5
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
	servers, err := measureServers(ctx, []int{1000, 3000, fullSizeServers})
	if err != nil {
		return experiment.Report{}, err
	}
	accounts, err := measureAccounts(ctx, []int{100, 300, fullSizeAccounts})
	if err != nil {
		return experiment.Report{}, err
	}
	report.Figures = append(servers.figures(), accounts.figures()...)
	report.Targets = append(report.Targets, changeTargets(servers)...)
	propagation, err := measurePropagation(ctx, []int{4, 16, 64}, options.Seed)
	if err != nil {
		return experiment.Report{}, err
	}
	report.Figures = append(report.Figures, propagation.figures()...)
	report.Targets = append(report.Targets, propagationTargets(propagation)...)
	exchange, err := measureExchange(ctx, []int{4, 16, 64, dataCentreInstances}, span, options.Seed)
	if err != nil {
		return experiment.Report{}, err
	}
	report.Figures = append(report.Figures, exchange.figures()...)
	full := exchange.points[len(exchange.points)-1].costs
	report.Targets = append(report.Targets,
		experiment.AtMost("exchange at 185 instances: bytes both ways", "B/s", controlBytesPerSecond, full[0]),
		experiment.AtMost("exchange at 185 instances: processor time", "ms/s", controlProcessorMsPerSecond, full[1]),
		experiment.AtMost("exchange at 185 instances: memory", "KB", controlMemoryKilobytes, full[2]),
	)
	return report, nil
}

// changeTargets compares the cost of a day's changes, evenly distributed over the day, with the
// bounds of a node. Bytes count twice, as a node receives each difference and also sends it on
// once on average.
func changeTargets(servers series) []experiment.Target {
	full := servers.points[len(servers.points)-1].costs
	perSecond := 1 / changePeriod.Seconds()
	return []experiment.Target{
		experiment.AtMost("6,100 changes a day of 10,000 servers: processor time", "ms/s", controlProcessorMsPerSecond, full[0]*perSecond),
		experiment.AtMost("6,100 changes a day of 10,000 servers: bytes both ways", "B/s", controlBytesPerSecond, 2*full[1]*perSecond),
		experiment.AtMost("copy of 10,000 servers: memory", "KB", controlMemoryKilobytes, full[2]),
	}
}

// propagationTargets compares the largest fleet over sockets with the design's bounds.
func propagationTargets(propagation series) []experiment.Target {
	largest := propagation.points[len(propagation.points)-1].costs
	return []experiment.Target{
		experiment.AtMost("64 instances over sockets: worst time until in force everywhere", "s", maxInForceSeconds, largest[0]),
		experiment.AtMost("64 instances over sockets: waiting platform calls", "calls", maxWaitingCalls, largest[1]),
	}
}
