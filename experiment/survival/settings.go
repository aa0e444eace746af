package survival

import (
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/experiment"
)

// The estate and its load.
const (
	directory            = "examples/bavaria"
	account              = "aussendienst-oberbayern"
	model                = "auskunft"
	service              = "bestand"
	operation            = "recall-hold"
	tokenTime            = 20 * time.Millisecond
	answerTokens         = 100
	generationsPerSecond = 8.0
	callsPerSecond       = 8.0
	loadDuration         = 20 * time.Second
	// limitReportPeriod is the period in which instances exchange limit reports.
	limitReportPeriod = 500 * time.Millisecond
	// faultInterval is the time between two faults.
	faultInterval = 2500 * time.Millisecond
	// outageDuration is how long the platform is unavailable.
	outageDuration = 2 * time.Second
)

func settingsUsed() []experiment.Setting {
	return []experiment.Setting{
		{Name: "estate", Value: directory},
		{Name: "generations a second", Value: strconv.FormatFloat(generationsPerSecond, 'g', -1, 64)},
		{Name: "tokens an answer", Value: strconv.Itoa(answerTokens)},
		{Name: "time a token", Value: tokenTime.String()},
		{Name: "calls a second", Value: strconv.FormatFloat(callsPerSecond, 'g', -1, 64)},
		{Name: "load", Value: loadDuration.String()},
		{Name: "exchange of limit reports", Value: limitReportPeriod.String()},
		{Name: "time between faults", Value: faultInterval.String()},
		{Name: "platform outage", Value: outageDuration.String()},
	}
}
