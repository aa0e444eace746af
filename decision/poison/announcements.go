package poison

import (
	"slices"
	"time"
)

// announcements holds entries that are passed on for a while after they were learned, oldest first.
type announcements[T any] struct {
	entries []announced[T]
}

// announced is an entry that was learned at a time.
type announced[T any] struct {
	entry     T
	learnedAt time.Time
}

// add appends an entry and keeps the newest limit entries.
func (a *announcements[T]) add(now time.Time, entry T, limit int) {
	a.entries = append(a.entries, announced[T]{entry: entry, learnedAt: now})
	if excess := len(a.entries) - limit; excess > 0 {
		a.entries = slices.Delete(a.entries, 0, excess)
	}
}

// recent removes the entries that were learned longer ago than a lifetime, and returns the others, newest first.
func (a *announcements[T]) recent(now time.Time, lifetime time.Duration) []T {
	a.entries = slices.DeleteFunc(a.entries, func(e announced[T]) bool { return now.Sub(e.learnedAt) > lifetime })
	var recent []T
	for _, e := range slices.Backward(a.entries) {
		recent = append(recent, e.entry)
	}
	return recent
}
