package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wisteriahaven/wisteriahaven/load"
)

// loadCommand sends a bounded load.
type loadCommand struct {
	Address  []string      `arg:"--address,required" help:"callers' addresses of entry instances on loopback"`
	Key      string        `arg:"--key,required,env:WISTERIAHAVEN_KEY" help:"bearer key of a client account"`
	Model    string        `arg:"--model" default:"auskunft" help:"model to ask"`
	Rate     float64       `arg:"--rate" default:"25" help:"generations started in a second"`
	Duration time.Duration `arg:"--duration" default:"20s" help:"how long generations are started"`
	Tokens   int           `arg:"--tokens" default:"100" help:"length of each answer"`
	CallRate float64       `arg:"--call-rate" default:"0" help:"calls to a plain service started in a second"`
	Service  string        `arg:"--service" default:"bestand" help:"plain service to call"`
	Call     string        `arg:"--operation" default:"lookup" help:"operation to call"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of prompts and arrival times"`
}

func (c *loadCommand) run(ctx context.Context) int {
	report, err := load.Run(ctx, load.Options{
		Addresses: c.Address,
		Key:       c.Key,
		Model:     c.Model,
		Rate:      c.Rate,
		Duration:  c.Duration,
		Tokens:    c.Tokens,
		CallRate:  c.CallRate,
		Service:   c.Service,
		Operation: c.Call,
		Seed:      c.Seed,
	})
	if err != nil {
		return fail(err)
	}
	if err := writeLoadReport(report); err != nil {
		return fail(err)
	}
	if len(report.Failures) > 0 {
		return exitMissed
	}
	return 0
}

func writeLoadReport(report *load.Report) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "complete answers\t%d\n", report.Complete)
	_, _ = fmt.Fprintf(table, "tokens\t%d\n", report.Tokens)
	_, _ = fmt.Fprintf(table, "resumes by the client\t%d\n", report.Resumes)
	for code, count := range report.Failures {
		_, _ = fmt.Fprintf(table, "failed with %s\t%d\n", code, count)
	}
	writeCalls(table, report)
	writeQuantiles(table, "first token", report.TimeToFirstToken)
	writeQuantiles(table, "longest gap in an answer", report.LongestTokenInterval)
	return table.Flush()
}

func writeCalls(table *tabwriter.Writer, report *load.Report) {
	counts := make(map[string]int)
	for _, outcome := range report.Calls {
		name := "calls answered"
		if !outcome.Answered {
			name = "calls " + string(outcome.Execution)
		}
		counts[name]++
	}
	for name, count := range counts {
		_, _ = fmt.Fprintf(table, "%s\t%d\n", name, count)
	}
}

func writeQuantiles(table *tabwriter.Writer, name string, histogram *hdrhistogram.Histogram) {
	for _, quantile := range []float64{50, 95, 100} {
		value := time.Duration(histogram.ValueAtQuantile(quantile)) * time.Microsecond
		_, _ = fmt.Fprintf(table, "%s, %g%%\t%s\n", name, quantile, value.Round(100*time.Microsecond))
	}
}
