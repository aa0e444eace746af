package claim_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/experiment/atmostonce"
	"github.com/wisteriahaven/wisteriahaven/internal/virtual"
)

// drawn draws the choices of a schedule from rapid.
type drawn struct{ t *rapid.T }

func (d drawn) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }

// TestAtMostOnce guards against a call that runs twice, an untrue not-run, a wrong
// answer and a shard that does not recover. It runs fault schedules of calls on
// several instances: crashes, pauses, lost and delayed writes, an unavailable
// platform, partitions and two instances that both act as the shard's owner.
// A long run: go test ./decision/claim -run TestAtMostOnce -rapid.checks=100000
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		result := atmostonce.RunSchedule(drawn{t})
		is.Equal(result.DoubleRuns, 0)
		is.Equal(result.FalseNotRun, 0)
		is.Equal(result.WrongAnswers, 0)
		is.Equal(result.RecoveryFailure, "")
	})
}

// TestAtMostOnceSeeded runs the first 300 schedules of the experiment's seed 1.
func TestAtMostOnceSeeded(t *testing.T) {
	is := is.New(t)
	for schedule := range uint64(300) {
		result := atmostonce.RunSchedule(virtual.Seeded(1, schedule))
		is.Equal(result.DoubleRuns+result.FalseNotRun+result.WrongAnswers, 0)
		is.Equal(result.RecoveryFailure, "")
	}
}
