package event

import "github.com/rs/zerolog"

// Events of admission, routing and limits, numbered from 4000.
var (
	LoadReportMissing = Definition{4000, "load_report_missing", zerolog.WarnLevel, "a backend server does not report its load", "check the server; routing goes on with own counts"}
	LoadReportResumed = Definition{4001, "load_report_back", zerolog.InfoLevel, "a backend server reports its load again", "none"}
)

var routingEvents = []Definition{LoadReportMissing, LoadReportResumed}
