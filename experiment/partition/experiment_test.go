package partition_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/experiment/partition"
)

func TestSmallRunMeetsItsTargetsAndRepeats(t *testing.T) {
	is := is.New(t)
	options := experiment.Options{Seed: 1, Scale: 0.05}
	first, err := partition.Experiment.Run(t.Context(), options)
	is.NoErr(err)
	is.True(first.Met())
	second, err := partition.Experiment.Run(t.Context(), options)
	is.NoErr(err)
	is.Equal(first, second)
}
