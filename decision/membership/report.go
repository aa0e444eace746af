package membership

import "github.com/cespare/xxhash/v2"

// AccountID is the hash of a client account's name that digests carry.
type AccountID uint32

// AccountIDOf returns the id of a client account.
func AccountIDOf(name string) AccountID { return AccountID(xxhash.Sum64String(name)) }

// Demand is the load that one source wants to send for one client account.
type Demand struct {
	Account AccountID `json:"account"`
	// Requests is in requests per minute.
	Requests uint32 `json:"requests"`
	// Tokens is in tokens per minute.
	Tokens uint32 `json:"tokens"`
}

// Report is the demand of one instance, or the summary of a data centre.
type Report struct {
	// Source is the name of the instance or, if Summary, of the data centre.
	Source  string `json:"source"`
	Summary bool   `json:"whole,omitempty"`
	// Epoch is the incarnation of the reporting instance, zero if Summary.
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
	// Instances is the number of live instances of the data centre and
	// LowestRevision the lowest revision in force among them, if Summary.
	Instances      uint32   `json:"instances,omitempty"`
	LowestRevision uint64   `json:"lowest_revision,omitempty"`
	Demand         []Demand `json:"demand,omitempty"`
}

// newerThan reports whether the report replaces another one of the same source.
func (r Report) newerThan(other Report) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	return r.Version > other.Version
}

// reportKey identifies the source of a report.
type reportKey struct {
	source  string
	summary bool
}

func (r Report) key() reportKey { return reportKey{source: r.Source, summary: r.Summary} }
