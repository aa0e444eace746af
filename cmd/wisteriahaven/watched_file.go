package main

import (
	"os"
	"time"
)

// watchedFile notices that a file was written.
type watchedFile struct {
	path     string
	modified time.Time
	size     int64
}

// changed reports whether the file differs from the last look. A file that can't
// be looked at has not changed: it is written anew in this moment.
func (w *watchedFile) changed() bool {
	info, err := os.Stat(w.path)
	if err != nil || (info.ModTime().Equal(w.modified) && info.Size() == w.size) {
		return false
	}
	w.modified, w.size = info.ModTime(), info.Size()
	return true
}
