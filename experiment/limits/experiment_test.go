package limits_test

import (
	"errors"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/experiment"
	"github.com/wisteriahaven/wisteriahaven/experiment/limits"
)

// TestRunRepeatsExactly guards against results that differ between concurrent runs.
func TestRunRepeatsExactly(t *testing.T) {
	is := is.New(t)
	options := experiment.Options{Seed: 3, Scale: 0.25}
	reports := make([]experiment.Report, 2)
	failures := make([]error, 2)
	var runs sync.WaitGroup
	for i := range reports {
		runs.Go(func() { reports[i], failures[i] = limits.Experiment.Run(t.Context(), options) })
	}
	runs.Wait()
	is.NoErr(errors.Join(failures...))
	is.Equal(reports[0], reports[1])
}
