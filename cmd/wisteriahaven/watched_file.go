package main

import (
	"os"
	"time"
)

// watchedFile detects that a file was written, by its modification time and size.
type watchedFile struct {
	path       string
	modifiedAt time.Time
	size       int64
}

// changed reports whether the file differs from the last check. A file that can't
// be read counts as unchanged: it may be in the middle of a replacement.
func (w *watchedFile) changed() bool {
	info, err := os.Stat(w.path)
	if err != nil || (info.ModTime().Equal(w.modifiedAt) && info.Size() == w.size) {
		return false
	}
	w.modifiedAt, w.size = info.ModTime(), info.Size()
	return true
}
