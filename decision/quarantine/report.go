package quarantine

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Suspect is a request that was in flight on a server when it ended.
type Suspect struct {
	Fingerprint serving.Fingerprint `json:"fingerprint"`
	// Age is how long it had run there.
	RunDuration time.Duration `json:"age"`
}

// Report is one instance's view of a server's death.
type Report struct {
	Instance string    `json:"instance"`
	Server   string    `json:"server"`
	At       time.Time `json:"at"`
	Suspects []Suspect `json:"suspects"`
	// Truncated means that more suspects were in flight than are listed.
	Truncated bool `json:"truncated,omitempty"`
}

// Clearance says that a request ran to a harmless end.
type Clearance struct {
	Fingerprint serving.Fingerprint `json:"fingerprint"`
	At          time.Time           `json:"at"`
	// Ran is how long it ran.
	RunDuration time.Duration `json:"ran"`
}

// Quarantine is a refused request.
type Quarantine struct {
	Fingerprint serving.Fingerprint `json:"fingerprint"`
	Since       time.Time           `json:"since"`
	// Released means that an operator ended the quarantine at Since.
	Released bool `json:"released,omitempty"`
	// Servers are the servers that the request ended.
	Servers []string `json:"servers,omitempty"`
}

// Digest is what books tell each other.
type Digest struct {
	Reports     []Report     `json:"reports,omitempty"`
	Clearances  []Clearance  `json:"clearances,omitempty"`
	Quarantines []Quarantine `json:"quarantines,omitempty"`
	// Running are the suspects in flight.
	Running []Running `json:"running,omitempty"`
	// Intents are the wishes to run suspects.
	Intents []Intent `json:"intents,omitempty"`
}

// Running says that a suspect is in flight at an instance.
type Running struct {
	Fingerprint serving.Fingerprint `json:"fingerprint"`
	Instance    string              `json:"instance"`
	// Age is how long ago that was known for sure.
	Age time.Duration `json:"age"`
}

// Empty reports whether the digest says nothing.
func (d Digest) Empty() bool {
	return len(d.Reports)+len(d.Clearances)+len(d.Quarantines)+len(d.Running)+len(d.Intents) == 0
}
