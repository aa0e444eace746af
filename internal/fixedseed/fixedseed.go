// Package fixedseed makes property tests reproducible: it sets their seed unless
// the command line gives one.
package fixedseed

import (
	"flag"
	"strconv"
)

// defaultSeed is the seed of every run without -rapid.seed.
const defaultSeed = "1"

// Apply sets the seed of rapid. Call it from TestMain before m.Run.
func Apply() {
	setUnlessGiven("rapid.seed", defaultSeed)
}

// ApplyWithChecks sets the seed and the number of cases of rapid.
func ApplyWithChecks(checks int) {
	Apply()
	setUnlessGiven("rapid.checks", strconv.Itoa(checks))
}

// setUnlessGiven sets a flag unless the command line gives it.
func setUnlessGiven(name, value string) {
	if !flag.Parsed() {
		flag.Parse()
	}
	given := false
	flag.Visit(func(f *flag.Flag) {
		given = given || f.Name == name
	})
	if !given {
		_ = flag.Set(name, value)
	}
}

// Checks sets the number of cases of every property unless the command line
// gives one. Call it after Apply.
func Checks(count int) {
	given := false
	flag.Visit(func(f *flag.Flag) {
		given = given || f.Name == "rapid.checks"
	})
	if !given {
		_ = flag.Set("rapid.checks", strconv.Itoa(count))
	}
}
