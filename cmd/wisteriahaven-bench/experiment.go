package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/wisteriahaven/wisteriahaven/experiment"
)

// experimentCommand runs one experiment, or lists all.
type experimentCommand struct {
	Name   string  `arg:"positional,required" help:"name of the experiment, or list"`
	Seed   uint64  `arg:"--seed" default:"1" help:"seed of every random choice"`
	Scale  float64 `arg:"--scale" default:"1" help:"multiple of the default size"`
	Output string  `arg:"--output" default:"table" help:"json or table"`
}

func (c *experimentCommand) run(ctx context.Context) int {
	if c.Name == "list" {
		for _, candidate := range experiments {
			_, _ = fmt.Printf("%-20s %s\n", candidate.Name, candidate.Summary)
		}
		return 0
	}
	for _, candidate := range experiments {
		if candidate.Name == c.Name {
			return c.runOne(ctx, candidate)
		}
	}
	_, _ = fmt.Fprintf(os.Stderr, "unknown experiment %q; try: wisteriahaven-bench experiment list\n", c.Name)
	return exitUsage
}

func (c *experimentCommand) runOne(ctx context.Context, chosen experiment.Experiment) int {
	report, err := chosen.Run(ctx, experiment.Options{Seed: c.Seed, Scale: c.Scale})
	if err != nil {
		return fail(err)
	}
	if c.Output == "json" {
		err = writeReportJSON(os.Stdout, report)
	} else {
		err = writeReportTable(os.Stdout, report)
	}
	if err != nil {
		return fail(err)
	}
	if !report.Met() {
		return exitFailure
	}
	return 0
}

func writeReportJSON(w io.Writer, report experiment.Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

func writeReportTable(w io.Writer, report experiment.Report) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "experiment\t%s\tseed %d\n", report.Experiment, report.Seed)
	for _, setting := range report.Settings {
		_, _ = fmt.Fprintf(table, "setting\t%s\t%s\n", setting.Name, setting.Value)
	}
	for _, figure := range report.Figures {
		_, _ = fmt.Fprintf(table, "figure\t%s\t%.4g %s\n", figure.Name, figure.Value, figure.Unit)
	}
	for _, target := range report.Targets {
		verdict := "met"
		if !target.Met {
			verdict = "MISSED"
		}
		_, _ = fmt.Fprintf(table, "target\t%s\t%.4g %s, bound %.4g\t%s\n", target.Name, target.Measured, target.Unit, target.Bound, verdict)
	}
	return table.Flush()
}
