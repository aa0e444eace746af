// Package guard finds requests that end the servers that run them.
package guard

import "github.com/wisteriahaven/wisteriahaven/serving"

// Open is a serving.Guard that lets every request through.
type AllowAll struct{}

// Check implements serving.Guard.
func (AllowAll) Check(serving.Fingerprint, string) (bool, error) { return false, nil }

// Started implements serving.Guard.
func (AllowAll) Started(serving.Fingerprint, string, string) {}

// Ended implements serving.Guard.
func (AllowAll) Ended(serving.Fingerprint, string, string) {}

// ServerDied implements serving.Guard.
func (AllowAll) ServerFailed(string) {}
