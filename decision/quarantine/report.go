package quarantine

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Suspect is a request that was in flight on a server when the server failed.
type Suspect struct {
	Fingerprint serving.Fingerprint `json:"fingerprint"`
	// RunDuration is how long the request had run there.
	RunDuration time.Duration `json:"age"`
}

// Report is one instance's report of a server's failure.
type Report struct {
	Instance string    `json:"instance"`
	Server   string    `json:"server"`
	At       time.Time `json:"at"`
	Suspects []Suspect `json:"suspects"`
	// Truncated means that more suspects were in flight than are listed.
	Truncated bool `json:"truncated,omitempty"`
}

// Clearance says that a suspect left a server that did not fail.
type Clearance struct {
	Fingerprint serving.Fingerprint `json:"fingerprint"`
	At          time.Time           `json:"at"`
	// RunDuration is how long the request ran there.
	RunDuration time.Duration `json:"ran"`
}

// Quarantine is the entry of a refused request, or of one that was released.
type Quarantine struct {
	Fingerprint serving.Fingerprint `json:"fingerprint"`
	Since       time.Time           `json:"since"`
	// Released means that an operator ended the quarantine at Since.
	Released bool `json:"released,omitempty"`
	// Servers are the servers whose failures led to the quarantine.
	Servers []string `json:"servers,omitempty"`
}

// Digest is the message that the trackers of instances exchange.
type Digest struct {
	Reports     []Report     `json:"reports,omitempty"`
	Clearances  []Clearance  `json:"clearances,omitempty"`
	Quarantines []Quarantine `json:"quarantines,omitempty"`
	// Running are the suspects in flight.
	Running []Running `json:"running,omitempty"`
	// Intents are the intents to run suspects.
	Intents []Intent `json:"intents,omitempty"`
}

// Running says that a suspect is in flight at an instance.
type Running struct {
	Fingerprint serving.Fingerprint `json:"fingerprint"`
	Instance    string              `json:"instance"`
	// Age is the time since the instance last confirmed it.
	Age time.Duration `json:"age"`
}

// Empty reports whether the digest has no entries.
func (d Digest) Empty() bool {
	return len(d.Reports)+len(d.Clearances)+len(d.Quarantines)+len(d.Running)+len(d.Intents) == 0
}
