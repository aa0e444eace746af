package peers

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/wisteriahaven/wisteriahaven/decision/serverrate"
)

// tagRequestRate is the protobuf field number of a server's request rate in a digest.
const tagRequestRate protowire.Number = 30

// Protobuf field numbers of a request rate. The ages are those of the newest answers with and without a rate, in milliseconds
// plus one; absent when there was no such answer.
const (
	tagRequestRateServer protowire.Number = iota + 1
	tagRequestRateThousandths
	tagRequestRateStatedAge
	tagRequestRateClearedAge
)

const (
	// maxRequestRates bounds the decoded rates of a digest.
	maxRequestRates = 16
	// thousandths is the unit of rates in digests.
	thousandths = 1e3
)

// RequestRateReport is what the sender knows of the rate that a server states.
type RequestRateReport struct {
	Server string
	// PerSecond is the rate in requests a second.
	PerSecond float64
	// StatedAge and ClearedAge are the times since the newest answers with and without a rate; negative for none.
	StatedAge  time.Duration
	ClearedAge time.Duration
}

// noAge stands for an answer that there was not.
const noAge time.Duration = -1

// requestRateReports returns statements with ages.
func requestRateReports(now time.Time, statements []serverrate.Statement) []RequestRateReport {
	age := func(at time.Time) time.Duration {
		if at.IsZero() {
			return noAge
		}
		return max(0, now.Sub(at).Truncate(time.Millisecond))
	}
	reports := make([]RequestRateReport, 0, len(statements))
	for _, statement := range statements {
		reports = append(reports, RequestRateReport{Server: statement.Server, PerSecond: statement.PerSecond, StatedAge: age(statement.StatedAt), ClearedAge: age(statement.ClearedAt)})
	}
	return reports
}

// statement returns a report with times of the local clock.
func (r *RequestRateReport) statement(now time.Time) serverrate.Statement {
	at := func(age time.Duration) time.Time {
		if age < 0 {
			return time.Time{}
		}
		return now.Add(-age)
	}
	return serverrate.Statement{Server: r.Server, PerSecond: r.PerSecond, StatedAt: at(r.StatedAge), ClearedAt: at(r.ClearedAge)}
}

// reportRequestRates passes the rates of a digest to the ledger.
func (s *Service) reportRequestRates(now time.Time, digest *Digest) {
	if len(digest.RequestRates) == 0 {
		return
	}
	statements := make([]serverrate.Statement, 0, len(digest.RequestRates))
	for i := range digest.RequestRates {
		statements = append(statements, digest.RequestRates[i].statement(now))
	}
	s.options.Ledger.ReportRequestRates(statements)
}

// hashRequestRates returns a hash of the servers that state a rate, 0 for none, which doesn't depend on their order.
func hashRequestRates(statements []serverrate.Statement) uint64 {
	hash := uint64(0)
	for i := range statements {
		if statements[i].StatedAt.After(statements[i].ClearedAt) {
			hash ^= xxhash.Sum64String(statements[i].Server)
		}
	}
	return hash
}

func encodeRequestRate(report *RequestRateReport) []byte {
	age := func(age time.Duration) uint64 {
		if age < 0 {
			return 0
		}
		return uint64(age.Milliseconds()) + 1
	}
	b := appendText(nil, tagRequestRateServer, report.Server)
	b = appendNumber(b, tagRequestRateThousandths, uint64(math.Round(max(0, report.PerSecond)*thousandths)))
	b = appendNumber(b, tagRequestRateStatedAge, age(report.StatedAge))
	return appendNumber(b, tagRequestRateClearedAge, age(report.ClearedAge))
}

// decodeRequestRate adds the rate of a server. Those without a name are ignored, as are more than maxRequestRates.
func (d *Digest) decodeRequestRate(part []byte) error {
	report := RequestRateReport{StatedAge: noAge, ClearedAge: noAge}
	err := eachField(part, func(tag protowire.Number, number uint64, text []byte) error {
		number = min(number, maxNumber)
		switch tag {
		case tagRequestRateServer:
			report.Server = string(text)
		case tagRequestRateThousandths:
			report.PerSecond = float64(number) / thousandths
		case tagRequestRateStatedAge:
			report.StatedAge = decodeAge(number)
		case tagRequestRateClearedAge:
			report.ClearedAge = decodeAge(number)
		}
		return nil
	})
	if err == nil && report.Server != "" && len(d.RequestRates) < maxRequestRates {
		d.RequestRates = append(d.RequestRates, report)
	}
	return err
}

// decodeAge returns the age that stands in a digest as milliseconds plus one.
func decodeAge(number uint64) time.Duration {
	if number == 0 {
		return noAge
	}
	return time.Duration(number-1) * time.Millisecond
}
