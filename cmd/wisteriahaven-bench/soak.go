package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/platform/soak"
)

// soakCommand runs the fault soak once for each seed.
type soakCommand struct {
	Binary    string        `arg:"--binary" default:"target/wisteriahaven" help:"the program under test"`
	Older     string        `arg:"--older" help:"the program of an older build: instances start with it, are replaced one after the other by --binary, and back"`
	Folder    string        `arg:"--folder" help:"folder for settings and logs; a temporary one when not given, kept when a promise was broken"`
	Seed      uint64        `arg:"--seed" default:"1" help:"first seed"`
	Seeds     int           `arg:"--seeds" default:"1" help:"number of seeds, one after the other"`
	Faults    time.Duration `arg:"--faults" default:"12s" help:"time in which faults are injected"`
	Instances int           `arg:"--instances" default:"4" help:"number of entry instances"`
	Clients   int           `arg:"--clients" default:"16" help:"number of clients"`
	SoundOnly bool          `arg:"--sound-only" help:"only faults in which nothing fails: silent backend servers, changes of the configuration and of settings, planned stops; each request must be answered"`
	Rates     bool          `arg:"--rates" help:"let one server of each service state how many requests a second it takes; it must not get more than users allow"`
	Poison    bool          `arg:"--poison" help:"add a client whose request crashes each backend server that runs it; it must not run more often than users allow"`
	Leaving   bool          `arg:"--leaving" help:"backend servers that leave, beside disturbances of instances and of the store; they must not get requests for longer than users allow"`
	Revoke    bool          `arg:"--revocations" help:"versions of the configuration in which no account holds a key, beside all other faults; requests without a valid key must reach no server"`
	CutOff    bool          `arg:"--cut-off" help:"only instances that are cut off from all backend servers, paused or killed; clients of those cut off must be served nearly as often as others"`
	Verbose   bool          `arg:"--verbose" help:"print the faults of every seed"`
}

func (c *soakCommand) run(ctx context.Context) int {
	code := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds) && ctx.Err() == nil; seed++ {
		broken, err := c.runSeed(ctx, seed)
		if err != nil {
			return fail(err)
		}
		if broken {
			code = exitFailure
		}
	}
	return code
}

func (c *soakCommand) runSeed(ctx context.Context, seed uint64) (broken bool, err error) {
	folder := c.Folder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "wisteriahaven-soak-"); err != nil {
			return false, err
		}
	} else {
		folder = filepath.Join(folder, strconv.FormatUint(seed, 10))
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return false, err
		}
	}
	report, err := soak.Run(ctx, soak.Options{Binary: c.Binary, Older: c.Older, Folder: folder, Seed: seed, FaultTime: c.Faults, Instances: c.Instances, Clients: c.Clients, SoundOnly: c.SoundOnly, Poison: c.Poison, Rates: c.Rates, Leaving: c.Leaving, CutOff: c.CutOff, Revocations: c.Revoke})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d of %d requests served, %d of %d after %d faults, %d promises broken\n",
		seed, report.Served, report.Requests, report.ServedAfterFaults, report.RequestsAfterFaults, len(report.Faults), len(report.Violations))
	for _, line := range report.CutOffs {
		fmt.Println(" ", line)
	}
	if c.Verbose || len(report.Violations) > 0 {
		for _, line := range report.Faults {
			fmt.Println("  fault", line)
		}
	}
	if c.Verbose {
		for _, line := range report.Replacements {
			fmt.Println("  replaced", line)
		}
	}
	for _, line := range report.Violations {
		fmt.Println("  BROKEN", line)
	}
	if len(report.Violations) > 0 {
		fmt.Println("  logs in", folder)
		return true, nil
	}
	if c.Folder == "" {
		return false, os.RemoveAll(folder)
	}
	return false, nil
}
