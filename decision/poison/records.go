package poison

import "time"

// records holds the records of keys.
type records struct {
	settings Settings
	byKey    map[Key]*record
}

// get returns the record of a key, a new one if there is none. A new one takes the place of the oldest
// when there are MaxKeys.
func (s *records) get(now time.Time, key Key) *record {
	if r := s.byKey[key]; r != nil {
		r.removeBefore(now.Add(-s.settings.CrashLifetime))
		return r
	}
	if len(s.byKey) >= s.settings.MaxKeys {
		s.removeOldest(now)
	}
	r := &record{}
	s.byKey[key] = r
	return r
}

// removeOldest removes the records whose crashes have expired, and the oldest one if none has.
func (s *records) removeOldest(now time.Time) {
	var oldest Key
	var oldestAt time.Time
	for key, r := range s.byKey {
		at := r.lastAt()
		if now.Sub(at) > s.settings.CrashLifetime {
			delete(s.byKey, key)
		} else if oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = key, at
		}
	}
	if len(s.byKey) >= s.settings.MaxKeys {
		delete(s.byKey, oldest)
	}
}

// clear removes the record of a key that a run without a crash clears, and reports whether it did.
func (s *records) clear(run CleanRun) bool {
	r := s.byKey[run.Key]
	if r == nil || len(r.crashes) == 0 || !run.clears(r.lastAt(), s.settings) {
		return false
	}
	delete(s.byKey, run.Key)
	return true
}
