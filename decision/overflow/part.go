package overflow

import (
	"math"

	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// part returns a number from 0 to below 1 that depends on two digests only.
func part(a, b rendezvous.Digest) float64 {
	return float64(a.Weight(b)>>11) / (1 << 53)
}

// logOf returns the logarithm of a number from 0 to 1, below 0.
func logOf(value float64) float64 { return math.Log(max(value, 1e-300)) }
