package peers

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/wisteriahaven/wisteriahaven/decision/poison"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Protobuf field numbers of the reports about requests that crash servers.
const (
	tagReportKeys protowire.Number = iota + 1
	tagReportAge
	tagReportServer
	tagReportRenewals
)

const (
	// maxPoisonBytes bounds the news about requests that crash servers in a digest, which leave room for loads.
	maxPoisonBytes = 480
	// maxReportKeys is the maximum number of keys in a report.
	maxReportKeys = 1 + poison.MaxParts
)

// appendPoisonNews appends the reports that fit, the quarantines first.
func appendPoisonNews(b []byte, news *PoisonNews) []byte {
	end := len(b) + maxPoisonBytes
	add := func(tag protowire.Number, report []byte) {
		if len(b)+len(report) <= end {
			b = appendIfFits(b, tag, report)
		}
	}
	for _, quarantine := range news.Quarantines {
		report := encodeReport(quarantine.Age, quarantine.Keys...)
		add(tagQuarantine, appendNumber(report, tagReportRenewals, uint64(max(0, quarantine.Renewals))))
	}
	for _, crash := range news.Crashes {
		report := encodeReport(crash.Age, append([]poison.Key{crash.Run.Request}, crash.Run.Parts...)...)
		add(tagCrash, appendNumber(report, tagReportServer, crash.Server))
	}
	for _, run := range news.CleanRuns {
		add(tagCleanRun, encodeReport(run.Age, run.Key))
	}
	return b
}

func encodeReport(age time.Duration, keys ...poison.Key) []byte {
	b := protowire.AppendBytes(protowire.AppendTag(nil, tagReportKeys, protowire.BytesType), encodeKeys(keys))
	return appendNumber(b, tagReportAge, uint64(max(0, age.Milliseconds())))
}

// decodedReport holds the fields of a report of any kind.
type decodedReport struct {
	keys   []poison.Key
	age    time.Duration
	server uint64
	// renewals is that of a quarantine.
	renewals int
}

// decodeReport decodes a report with at least one key. Errors have the code PeerMessage.
func decodeReport(message []byte) (decodedReport, error) {
	var report decodedReport
	err := eachField(message, func(tag protowire.Number, number uint64, text []byte) (err error) {
		switch tag {
		case tagReportKeys:
			if len(text) > maxReportKeys*keyBytes {
				return fault.New(fault.PeerMessage, "report on a request: too many keys")
			}
			report.keys, err = decodeKeys[poison.Key](text)
		case tagReportAge:
			report.age = time.Duration(min(number, maxNumber)) * time.Millisecond
		case tagReportServer:
			report.server = number
		case tagReportRenewals:
			report.renewals = int(min(number, maxNumber))
		}
		return err
	})
	if err == nil && len(report.keys) == 0 {
		err = fault.New(fault.PeerMessage, "report on a request: the key is missing")
	}
	return report, err
}

// decodePoison decodes a report of the kind that a tag stands for. Errors have the code PeerMessage.
func (n *PoisonNews) decodePoison(tag protowire.Number, message []byte) error {
	report, err := decodeReport(message)
	if err != nil {
		return err
	}
	switch tag {
	case tagCrash:
		if report.server == 0 {
			return fault.New(fault.PeerMessage, "crash report: the server is missing")
		}
		run := poison.Run{Request: report.keys[0]}
		if len(report.keys) > 1 {
			run.Parts = report.keys[1:]
		}
		n.Crashes = append(n.Crashes, CrashReport{Server: report.server, Run: run, Age: report.age})
	case tagCleanRun:
		n.CleanRuns = append(n.CleanRuns, CleanRunReport{Key: report.keys[0], Age: report.age})
	case tagQuarantine:
		n.Quarantines = append(n.Quarantines, QuarantineReport{Keys: report.keys, Age: report.age, Renewals: report.renewals})
	}
	return nil
}
