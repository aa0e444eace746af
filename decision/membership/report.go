package membership

import "github.com/cespare/xxhash/v2"

// AccountID stands for a client account's name in digests.
type AccountID uint32

// AccountIDOf returns the id of a client account.
func AccountIDOf(name string) AccountID { return AccountID(xxhash.Sum64String(name)) }

// Demand is what one source wants to send for one client account.
type Demand struct {
	Account AccountID `json:"account"`
	// Requests is in requests per minute.
	Requests uint32 `json:"requests"`
	// Tokens is in tokens per minute.
	Tokens uint32 `json:"tokens"`
}

// Report is the demand of one instance, or the summary of a data centre.
type Report struct {
	// Source is the name of the instance or, if Whole, of the data centre.
	Source  string `json:"source"`
	Summary bool   `json:"whole,omitempty"`
	// Epoch is the incarnation of a reporting instance, zero if Whole.
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
	// Instances and LowestRevision sum up the live instances if Whole.
	Instances      uint32   `json:"instances,omitempty"`
	LowestRevision uint64   `json:"lowest_revision,omitempty"`
	Demand         []Demand `json:"demand,omitempty"`
}

// newerThan reports whether the report replaces the other one of its source.
func (r Report) newerThan(other Report) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	return r.Version > other.Version
}

// reportKey identifies the source of a report.
type reportKey struct {
	source string
	whole  bool
}

func (r Report) key() reportKey { return reportKey{source: r.Source, whole: r.Summary} }
