package objectapi

// Settings describe one stand-in object API. Zero rates mean no limit.
type Settings struct {
	Address         string
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Faults are the failures the stand-in produces on request.
type Faults struct {
	// Outage answers every call with 503.
	Outage bool `json:"outage,omitempty"`
	// LoseAnswers applies that many writes and breaks their connections.
	DropAnswers int `json:"lose_answers,omitempty"`
	// DelayMillis slows every call down.
	DelayMillis int `json:"delay_ms,omitempty"`
}

// Counters count the calls by kind.
type Counters struct {
	Reads          int `json:"reads"`
	Writes         int `json:"writes"`
	Watches        int `json:"watches"`
	Waiting        int `json:"waiting"`
	Limited        int `json:"limited"`
	Refused        int `json:"refused"`
	AnswersDropped int `json:"lost_sent"`
}
