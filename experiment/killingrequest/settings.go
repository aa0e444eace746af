package killingrequest

import "time"

// Settings are the sizes of one schedule.
type Settings struct {
	Instances int
	Servers   int
	// Killers is the number of killing requests.
	PoisonRequests int
	// Racks is the number of times that several servers go down together.
	RackFailures int
	// Arrival is the mean time between innocent requests.
	ArrivalInterval time.Duration
	// Length is the time in which requests arrive.
	Length time.Duration
	// SpreadInterval is the time between two digests of an instance.
	DigestInterval time.Duration
	// SpreadFanOut is the number of peers that get each digest.
	DigestFanOut int
	// ResendAfter is the shortest time until a caller sends a request again.
	MinSecondSendDelay time.Duration
}

// DefaultSettings has the sizes of the Bavarian estate.
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

// Times of the bench.
const (
	restartTime   = 20 * time.Second
	maxHold       = 10 * time.Second
	drainLength   = 3 * time.Minute
	maxResends    = 4
	noServerPause = 200 * time.Millisecond
)
