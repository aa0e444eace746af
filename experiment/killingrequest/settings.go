package killingrequest

import "time"

// Settings holds the sizes and times of one schedule.
type Settings struct {
	Instances int
	Servers   int
	// Killers is the number of poison requests.
	Killers int
	// Racks is the number of rack failures, each of several servers together.
	Racks int
	// Arrival is the mean time between harmless requests.
	Arrival time.Duration
	// Length is the time during which requests arrive.
	Length time.Duration
	// SpreadInterval is the time between two digests of an instance.
	SpreadInterval time.Duration
	// SpreadFanOut is the number of peers to which each digest is sent.
	SpreadFanOut int
	// ResendAfter is the shortest time until a caller sends a request again.
	ResendAfter time.Duration
}

// DefaultSettings returns the sizes of the Bavarian estate.
func DefaultSettings() Settings {
	return Settings{
		Instances:      9,
		Servers:        25,
		Killers:        2,
		Racks:          2,
		Arrival:        50 * time.Millisecond,
		Length:         40 * time.Second,
		SpreadInterval: 500 * time.Millisecond,
		SpreadFanOut:   3,
		ResendAfter:    3 * time.Second,
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
