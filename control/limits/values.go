package limits

import (
	"math"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
)

// fieldsPerKind is the number of values in the report of one kind of limit.
const fieldsPerKind = 4

// encodeReports flattens the reports of one account into their wire form.
func encodeReports(reports [share.Kinds]share.Report) []int32 {
	values := make([]int32, 0, len(reports)*fieldsPerKind)
	for _, report := range reports {
		for _, value := range []int{report.Demand, report.Committed, report.Reserved, report.Frozen} {
			values = append(values, int32(max(math.MinInt32, min(math.MaxInt32, value))))
		}
	}
	return values
}

// decodeReports is the inverse of encodeReports. It returns false when the number of values is
// wrong.
func decodeReports(values []int32) ([share.Kinds]share.Report, bool) {
	var reports [share.Kinds]share.Report
	if len(values) != len(reports)*fieldsPerKind {
		return reports, false
	}
	for kind := range reports {
		fields := values[kind*fieldsPerKind:]
		reports[kind] = share.Report{
			Demand:    int(fields[0]),
			Committed: int(fields[1]),
			Reserved:  int(fields[2]),
			Frozen:    int(fields[3]),
		}
	}
	return reports, true
}
