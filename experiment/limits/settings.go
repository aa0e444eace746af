package limits

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/experiment"
)

// Sizes and times of the overload runs, and the length of an exchange.
const (
	instances    = 8
	slots        = 160
	runTime      = 2 * time.Second
	patience     = 10 * time.Second
	tries        = 3
	smallCount   = 4
	smallPart    = 0.05
	overloadedBy = 3.0
	expirePeriod = 100 * time.Millisecond
	warmUp       = 30 * time.Second
	overloadTime = 180 * time.Second
	exchangeTime = 300 * time.Second
)

// capacityRate is the number of requests per second that keeps every slot busy.
const capacityRate = float64(slots) / (float64(runTime) / float64(time.Second))

func settingsUsed(scale float64) []experiment.Setting {
	return []experiment.Setting{
		{Name: "exchange period", Value: period.String()},
		{Name: "lost reports", Value: strconv.FormatFloat(loss, 'f', 2, 64)},
		{Name: "virtual time of an exchange", Value: time.Duration(float64(exchangeTime) * scale).String()},
		{Name: "overload: instances", Value: strconv.Itoa(instances)},
		{Name: "overload: slots", Value: strconv.Itoa(slots)},
		{Name: "overload: mean run time", Value: runTime.String()},
		{Name: "overload: deadline", Value: patience.String()},
		{Name: "overload: maximum tries of a caller", Value: strconv.Itoa(tries)},
	}
}
