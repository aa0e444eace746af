package routing

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/experiment"
)

func TestRunRepeatsExactly(t *testing.T) {
	is := is.New(t)
	options := experiment.Options{Seed: 3, Scale: 0.2}
	first, err := Experiment.Run(t.Context(), options)
	is.NoErr(err)
	second, err := Experiment.Run(t.Context(), options)
	is.NoErr(err)
	is.Equal(first, second)
}

func TestMostEditsKeepTheLeastFeature(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	kept := 0
	for range 100 {
		original := randomText(random, 30_000)
		at := random.IntN(len(original) - editBytes)
		edited := original[:at] + randomText(random, editBytes) + original[at+editBytes:]
		if leastFeatures(original, 1)[0] == leastFeatures(edited, 1)[0] {
			kept++
		}
	}
	is.True(kept > 85) // an edit changes one or two of about 30 chunks
}

func TestCacheCountsTheLeadingBlocksOnly(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	prompt := randomText(random, 10*blockBytes)
	c := newCache()
	is.Equal(c.access(blockHashes(prompt)), 0)
	is.Equal(c.access(blockHashes(prompt)), 10)
	edited := prompt[:3*blockBytes] + "#" + prompt[3*blockBytes+1:]
	is.Equal(c.access(blockHashes(edited)), 3)
}
