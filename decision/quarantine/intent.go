package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Intent is an instance's request to run a suspect of several failures. The oldest
// intent goes first, so that the suspect crashes servers of no two instances at once.
type Intent struct {
	Fingerprint serving.Fingerprint `json:"fingerprint"`
	Instance    string              `json:"instance"`
	Since       time.Time           `json:"since"`
	// Age is the time since the intent was last confirmed, in a digest.
	Age time.Duration `json:"age"`
	// heard is when the intent was last confirmed, by the local clock.
	heard time.Time
}

func compareIntents(a, b Intent) int {
	return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Instance, b.Instance))
}

// mayRun records the intent to run a suspect and reports whether the suspect may
// run: no intent is older, and peers had SettleDelay to receive this one.
func (b *Book) mayRun(now time.Time, fingerprint serving.Fingerprint) bool {
	own := Intent{Fingerprint: fingerprint, Instance: b.instance, Since: now}
	for _, intent := range b.intents[fingerprint] {
		if intent.Instance == b.instance {
			own.Since = intent.Since
		}
	}
	own.heard = now
	b.addIntent(own)
	oldest := slices.MinFunc(b.intents[fingerprint], compareIntents)
	return oldest.Instance == b.instance && now.Sub(own.Since) >= b.settings.SettleDelay
}

// addIntent adds an intent and keeps the newest of each instance.
func (b *Book) addIntent(intent Intent) {
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

// exportIntents returns the intents of every instance.
func (b *Book) exportIntents(now time.Time) []Intent {
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
