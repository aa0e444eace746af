package guard

import "github.com/wisteriahaven/wisteriahaven/serving"

// Open is a serving.Guard that permits every request and records nothing.
type Open struct{}

// Check implements serving.Guard.
func (Open) Check(serving.Fingerprint, string) (bool, error) { return false, nil }

// Started implements serving.Guard.
func (Open) Started(serving.Fingerprint, string, string) {}

// Ended implements serving.Guard.
func (Open) Ended(serving.Fingerprint, string, string) {}

// ServerDied implements serving.Guard.
func (Open) ServerDied(string) {}
