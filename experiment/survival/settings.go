package survival

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/experiment"
)

// The estate and its load.
const (
	directory  = "examples/bavaria"
	account    = "aussendienst-oberbayern"
	model      = "auskunft"
	service    = "bestand"
	operation  = "recall-hold"
	tokenTime  = 20 * time.Millisecond
	tokens     = 100
	rate       = 8.0
	callRate   = 8.0
	loadLength = 20 * time.Second
	// limitPeriod is the period in which instances exchange limit reports.
	limitPeriod = 500 * time.Millisecond
	// faultGap is the time between two faults.
	faultGap = 2500 * time.Millisecond
	// outageLength is how long the platform is unavailable.
	outageLength = 2 * time.Second
)

func settingsUsed() []experiment.Setting {
	return []experiment.Setting{
		{Name: "estate", Value: directory},
		{Name: "generations a second", Value: strconv.FormatFloat(rate, 'g', -1, 64)},
		{Name: "tokens an answer", Value: strconv.Itoa(tokens)},
		{Name: "time a token", Value: tokenTime.String()},
		{Name: "calls a second", Value: strconv.FormatFloat(callRate, 'g', -1, 64)},
		{Name: "load", Value: loadLength.String()},
		{Name: "exchange of limit reports", Value: limitPeriod.String()},
		{Name: "time between faults", Value: faultGap.String()},
		{Name: "platform outage", Value: outageLength.String()},
	}
}
