package overhead

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/experiment"
)

// The size of a run at two loads: one node's share of the peak load, and saturation.
const (
	shareRate          = 25.0
	shareTokens        = 220
	tokenTime          = 29 * time.Millisecond
	shareDuration      = 4 * time.Second
	turnsPerPath       = 2
	saturatedStreams   = 64
	saturatedTokens    = 2000
	saturatedAnswers   = 10
	generationDeadline = 60 * time.Second
)

// runningAtShare is the mean number of answers that run concurrently at the share.
const runningAtShare = int(shareRate * shareTokens * tokenTime / time.Second)

func settingsUsed(scale float64) []experiment.Setting {
	return []experiment.Setting{
		{Name: "share: requests a second", Value: strconv.FormatFloat(shareRate, 'f', 0, 64)},
		{Name: "share: tokens an answer", Value: strconv.Itoa(shareTokens)},
		{Name: "share: time between tokens", Value: tokenTime.String()},
		{Name: "share: time of requests in a turn", Value: time.Duration(float64(shareDuration) * scale).String()},
		{Name: "saturation: streams", Value: strconv.Itoa(saturatedStreams)},
		{Name: "saturation: tokens an answer", Value: strconv.Itoa(saturatedTokens)},
		{Name: "saturation: answers a stream", Value: strconv.Itoa(answersPerStream(scale))},
		{Name: "turns of each path", Value: strconv.Itoa(turnsPerPath)},
	}
}

// answersPerStream returns the number of answers of each stream at saturation.
func answersPerStream(scale float64) int { return max(1, int(saturatedAnswers*scale)) }
