package routing

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/experiment"
)

// The size of a run. The request rate keeps about three quarters of the engines' slots busy.
const (
	engines             = 25
	instances           = 9
	slotsPerEngine      = 16
	accounts            = 10
	documentsPerAccount = 60
	requestsPerSecond   = 42.0
	meanAnswerTokens    = 220

	tokenTime           = 29 * time.Millisecond
	prefillTimePerToken = 100 * time.Microsecond
	cacheTokens         = 120_000
	reportPeriod        = 200 * time.Millisecond
	reportLag           = 500 * time.Millisecond
	samplePeriod        = 100 * time.Millisecond
	runDuration         = 180 * time.Second
	// warmUp is the time at the start of a run that is left out of the figures.
	warmUp        = 30 * time.Second
	bytesPerToken = 4
	blockTokens   = 64
)

func settingsUsed(scale float64) []experiment.Setting {
	return []experiment.Setting{
		{Name: "engines", Value: strconv.Itoa(engines)},
		{Name: "slots an engine", Value: strconv.Itoa(slotsPerEngine)},
		{Name: "instances", Value: strconv.Itoa(instances)},
		{Name: "requests a second", Value: strconv.FormatFloat(requestsPerSecond, 'f', 0, 64)},
		{Name: "client accounts", Value: strconv.Itoa(accounts)},
		{Name: "documents an account", Value: strconv.Itoa(documentsPerAccount)},
		{Name: "prefix cache an engine, tokens", Value: strconv.Itoa(cacheTokens)},
		{Name: "load report lag", Value: reportLag.String()},
		{Name: "virtual time", Value: time.Duration(float64(runDuration) * scale).String()},
	}
}
