package rollout

import "time"

// Limits bounds what a bad version may get. The zero value disables orders.
type Limits struct {
	// Share and Slack bound the requests that a new version gets between order and deadline: Share of all requests
	// of the service, plus Slack.
	Share float64
	Slack int
	// StopTime is the time after the MaxBadAnswers-th bad answer of a version after which it gets no request.
	StopTime time.Duration
}

// Enabled reports whether orders are followed.
func (l Limits) Enabled() bool { return l.Share > 0 && l.StopTime > 0 }

// MaxBadAnswers is the number of bad answers from which StopTime counts.
const MaxBadAnswers = 50

// MinDuration and MaxDuration bound the duration of an order.
const (
	MinDuration = time.Second
	MaxDuration = 7 * 24 * time.Hour
)
