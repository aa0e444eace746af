package killingrequest

import "time"

// Settings holds the sizes and times of one schedule.
type Settings struct {
	Instances int
	Servers   int
	// PoisonRequests is the number of poison requests.
	PoisonRequests int
	// RackFailures is the number of rack failures, each of several servers together.
	RackFailures int
	// ArrivalInterval is the mean time between harmless requests.
	ArrivalInterval time.Duration
	// Length is the time during which requests arrive.
	Length time.Duration
	// DigestInterval is the time between two digests of an instance.
	DigestInterval time.Duration
	// DigestFanOut is the number of peers to which each digest is sent.
	DigestFanOut int
	// MinSecondSendDelay is the shortest time until a caller sends a request again.
	MinSecondSendDelay time.Duration
}

// DefaultSettings returns the sizes of the Bavarian estate.
func DefaultSettings() Settings {
	return Settings{
		Instances:          9,
		Servers:            25,
		PoisonRequests:     2,
		RackFailures:       2,
		ArrivalInterval:    50 * time.Millisecond,
		Length:             40 * time.Second,
		DigestInterval:     500 * time.Millisecond,
		DigestFanOut:       3,
		MinSecondSendDelay: 3 * time.Second,
	}
}

// Times and bounds of the simulation.
const (
	restartTime        = 20 * time.Second
	maxDeferral        = 10 * time.Second
	completionTime     = 3 * time.Minute
	maxSecondSends     = 4
	noServerRetryDelay = 200 * time.Millisecond
)
