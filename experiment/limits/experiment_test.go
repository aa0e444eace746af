package limits_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/experiment/limits"
)

func TestRunRepeatsExactly(t *testing.T) {
	is := is.New(t)
	options := experiment.Options{Seed: 3, Scale: 0.25}
	first, err := limits.Experiment.Run(t.Context(), options)
	is.NoErr(err)
	second, err := limits.Experiment.Run(t.Context(), options)
	is.NoErr(err)
	is.Equal(first, second)
}
