package peers

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Protobuf field numbers of a rate.
const (
	tagRateService protowire.Number = iota + 1
	tagRateObserved
	tagRateInterval
	tagRateIntervalDeviation
	tagRateEvents
	tagRateEventsDeviation
	tagRateReading
	tagRateReadingDeviation
)

// millionths is the unit of numbers of events per token.
const millionths = 1e6

func encodeRate(rate *ServiceRate) []byte {
	b := appendText(nil, tagRateService, rate.Service)
	b = appendNumber(b, tagRateObserved, uint64(max(0, rate.Report.Observed)))
	b = appendNumber(b, tagRateInterval, uint64(max(0, rate.Report.EventInterval.Microseconds())))
	b = appendNumber(b, tagRateIntervalDeviation, uint64(max(0, rate.Report.EventIntervalDeviation.Microseconds())))
	b = appendNumber(b, tagRateEvents, uint64(max(0, rate.Report.EventsPerToken*millionths)))
	b = appendNumber(b, tagRateEventsDeviation, uint64(max(0, rate.Report.EventsPerTokenDeviation*millionths)))
	b = appendNumber(b, tagRateReading, uint64(max(0, rate.Report.ReadTimePerToken)))
	return appendNumber(b, tagRateReadingDeviation, uint64(max(0, rate.Report.ReadTimeDeviation)))
}

func (d *Digest) decodeRate(part []byte) error {
	var rate ServiceRate
	err := eachField(part, func(tag protowire.Number, number uint64, text []byte) error {
		value := min(number, maxNumber)
		switch tag {
		case tagRateService:
			rate.Service = string(text)
		case tagRateObserved:
			rate.Report.Observed = int(value)
		case tagRateInterval:
			rate.Report.EventInterval = time.Duration(value) * time.Microsecond
		case tagRateIntervalDeviation:
			rate.Report.EventIntervalDeviation = time.Duration(value) * time.Microsecond
		case tagRateEvents:
			rate.Report.EventsPerToken = float64(value) / millionths
		case tagRateEventsDeviation:
			rate.Report.EventsPerTokenDeviation = float64(value) / millionths
		case tagRateReading:
			rate.Report.ReadTimePerToken = time.Duration(value)
		case tagRateReadingDeviation:
			rate.Report.ReadTimeDeviation = time.Duration(value)
		}
		return nil
	})
	if err == nil && rate.Service != "" && rate.Report.Usable() {
		d.Rates = append(d.Rates, rate)
	}
	return err
}
