// Package fixedseed makes property tests repeat: it fixes their seed unless
// the command line gives one.
package fixedseed

import "flag"

// defaultSeed is the seed of every run without -rapid.seed.
const defaultSeed = "1"

// Apply fixes the seed of rapid. Call it from TestMain before m.Run.
func Apply() {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) {
		given = given || f.Name == "rapid.seed"
	})
	if !given {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
}
