package guard

import "github.com/wisteriahaven/wisteriahaven/serving"

// AllowAll is a serving.Guard that permits every request and records nothing.
type AllowAll struct{}

// Check implements serving.Guard.
func (AllowAll) Check(serving.Fingerprint, string) (bool, error) { return false, nil }

// Started implements serving.Guard.
func (AllowAll) Started(serving.Fingerprint, string, string) {}

// Reached implements serving.Guard.
func (AllowAll) Reached(string, string) {}

// Ended implements serving.Guard.
func (AllowAll) Ended(serving.Fingerprint, string, string) {}

// ServerFailed implements serving.Guard.
func (AllowAll) ServerFailed(string) {}
