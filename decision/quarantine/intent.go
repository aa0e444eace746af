package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Intent announces that an instance is about to run a suspect of several failures.
// The oldest intent goes first, so that no two instances lose a server to the suspect
// at the same time.
type Intent struct {
	Fingerprint serving.Fingerprint `json:"fingerprint"`
	Instance    string              `json:"instance"`
	Since       time.Time           `json:"since"`
	// Age is the time since the intent was last confirmed, in a digest.
	Age time.Duration `json:"age"`
	// confirmedAt is when the intent was last confirmed, by the local clock.
	confirmedAt time.Time
}

func compareIntents(a, b Intent) int {
	return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Instance, b.Instance))
}

// mayRun records the intent to run a suspect and reports whether the suspect may
// run: no intent is older, and peers had PropagationDelay to receive this one.
func (t *Tracker) mayRun(now time.Time, fingerprint serving.Fingerprint) bool {
	own := Intent{Fingerprint: fingerprint, Instance: t.instance, Since: now}
	for _, intent := range t.intents[fingerprint] {
		if intent.Instance == t.instance {
			own.Since = intent.Since
		}
	}
	own.confirmedAt = now
	t.addIntent(own)
	oldest := slices.MinFunc(t.intents[fingerprint], compareIntents)
	return oldest.Instance == t.instance && now.Sub(own.Since) >= t.settings.PropagationDelay
}

// addIntent adds an intent and keeps the newest of each instance.
func (t *Tracker) addIntent(intent Intent) {
	current := t.intents[intent.Fingerprint]
	for i := range current {
		if current[i].Instance != intent.Instance {
			continue
		}
		if intent.confirmedAt.After(current[i].confirmedAt) {
			current[i] = intent
		}
		return
	}
	t.intents[intent.Fingerprint] = append(current, intent)
}

// exportIntents returns the intents of every instance.
func (t *Tracker) exportIntents(now time.Time) []Intent {
	var all []Intent
	for _, intents := range t.intents {
		for _, intent := range intents {
			intent.Age = now.Sub(intent.confirmedAt)
			all = append(all, intent)
		}
	}
	slices.SortFunc(all, func(a, b Intent) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), compareIntents(a, b))
	})
	return all
}
