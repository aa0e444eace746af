package objectapi

// Settings describes one stand-in object API. A rate of zero means no limit.
type Settings struct {
	Address         string
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Faults describes the failures that the stand-in produces on request.
type Faults struct {
	// Outage answers every call with 503.
	Outage bool `json:"outage,omitempty"`
	// DropAnswers is the number of next writes that are processed and whose
	// connection is then closed in place of an answer.
	DropAnswers int `json:"lose_answers,omitempty"`
	// DelayMillis is added to the time of every call.
	DelayMillis int `json:"delay_ms,omitempty"`
}

// Counters counts the calls by kind. Waiting is the number of watches that are
// open now; AnswersDropped counts the writes that got no answer.
type Counters struct {
	Reads          int `json:"reads"`
	Writes         int `json:"writes"`
	Watches        int `json:"watches"`
	Waiting        int `json:"waiting"`
	Limited        int `json:"limited"`
	Refused        int `json:"refused"`
	AnswersDropped int `json:"lost_sent"`
}
