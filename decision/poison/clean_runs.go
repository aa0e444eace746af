package poison

import "time"

// cleanRuns holds the time of the last run of each key that ended without a crash, in two generations: when the
// current one is as old as the lifetime or full, it replaces the previous one.
type cleanRuns struct {
	lifetime time.Duration
	maxKeys  int
	current  map[Key]time.Time
	previous map[Key]time.Time
	begun    time.Time
}

func newCleanRuns(settings Settings) *cleanRuns {
	return &cleanRuns{lifetime: settings.CleanLifetime, maxKeys: settings.MaxCleanKeys, current: make(map[Key]time.Time)}
}

// add records a run that ended without a crash.
func (c *cleanRuns) add(key Key, at time.Time) {
	if at.Sub(c.begun) >= c.lifetime || len(c.current) >= c.maxKeys {
		c.previous, c.current, c.begun = c.current, make(map[Key]time.Time), at
	}
	if last := c.last(key); at.After(last) {
		c.current[key] = at
	}
}

// last returns the end of the last such run; zero when none is known.
func (c *cleanRuns) last(key Key) time.Time {
	if at, known := c.current[key]; known {
		return at
	}
	return c.previous[key]
}
