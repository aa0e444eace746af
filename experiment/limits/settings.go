package limits

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/experiment"
)

// Sizes and times of the overload runs, and the length of an exchange.
const (
	instances      = 8
	slots          = 160
	meanRunTime    = 2 * time.Second
	callerTimeout  = 10 * time.Second
	maxTries       = 3
	smallCount     = 4
	smallFraction  = 0.05
	overloadFactor = 3.0
	expireInterval = 100 * time.Millisecond
	warmUpTime     = 30 * time.Second
	overloadTime   = 180 * time.Second
	exchangeTime   = 300 * time.Second
)

// capacityRate is the number of requests per second that keeps every slot busy.
const capacityRate = float64(slots) / (float64(meanRunTime) / float64(time.Second))

func settingsUsed(scale float64) []experiment.Setting {
	return []experiment.Setting{
		{Name: "exchange period", Value: reportInterval.String()},
		{Name: "lost reports", Value: strconv.FormatFloat(reportLoss, 'f', 2, 64)},
		{Name: "virtual time of an exchange", Value: time.Duration(float64(exchangeTime) * scale).String()},
		{Name: "overload: instances", Value: strconv.Itoa(instances)},
		{Name: "overload: slots", Value: strconv.Itoa(slots)},
		{Name: "overload: mean run time", Value: meanRunTime.String()},
		{Name: "overload: deadline", Value: callerTimeout.String()},
		{Name: "overload: tries of a caller", Value: strconv.Itoa(maxTries)},
	}
}
