package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Intent is an instance's wish to run a suspect of several deaths. The oldest
// one goes first, so that no two instances lose a server to it at a time.
type Intent struct {
	Fingerprint serving.Fingerprint `json:"fingerprint"`
	Instance    string              `json:"instance"`
	Since       time.Time           `json:"since"`
	// Age is how long ago the wish was last known to stand, in a digest.
	Age time.Duration `json:"age"`
	// heard is when the wish was last known to stand.
	heard time.Time
}

func compareIntents(a, b Intent) int {
	return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Instance, b.Instance))
}

// mayRun notes the wish to run a suspect and reports whether it may: the wish
// is old enough for the others to know it, and none is older.
func (b *Tracker) mayRun(now time.Time, fingerprint serving.Fingerprint) bool {
	own := Intent{Fingerprint: fingerprint, Instance: b.instance, Since: now}
	for _, intent := range b.intents[fingerprint] {
		if intent.Instance == b.instance {
			own.Since = intent.Since
		}
	}
	own.heard = now
	b.addIntent(own)
	oldest := slices.MinFunc(b.intents[fingerprint], compareIntents)
	return oldest.Instance == b.instance && now.Sub(own.Since) >= b.settings.PropagationDelay
}

// addIntent keeps the newest word of each instance.
func (b *Tracker) addIntent(intent Intent) {
	known := b.intents[intent.Fingerprint]
	for i := range known {
		if known[i].Instance != intent.Instance {
			continue
		}
		if intent.heard.After(known[i].heard) {
			known[i] = intent
		}
		return
	}
	b.intents[intent.Fingerprint] = append(known, intent)
}

// exportIntents returns the wishes of every instance.
func (b *Tracker) exportIntents(now time.Time) []Intent {
	var all []Intent
	for _, intents := range b.intents {
		for _, intent := range intents {
			intent.Age = now.Sub(intent.heard)
			all = append(all, intent)
		}
	}
	slices.SortFunc(all, func(a, b Intent) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), compareIntents(a, b))
	})
	return all
}
