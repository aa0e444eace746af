package membership

import "time"

// NoticeKind is the kind of object that a notice is about.
type NoticeKind uint8

// The kinds of notice. The first three are drains of the object.
const (
	NoticeBackendServer NoticeKind = iota + 1
	NoticeInstance
	NoticeDataCentre
	NoticeQuarantine
)

// String returns the name of the kind.
func (k NoticeKind) String() string {
	switch k {
	case NoticeBackendServer:
		return "backend-server"
	case NoticeInstance:
		return "instance"
	case NoticeDataCentre:
		return "data-centre"
	case NoticeQuarantine:
		return "quarantine"
	default:
		return "invalid"
	}
}

// MarshalText writes the name of the kind.
func (k NoticeKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Valid reports whether the kind is one of the constants above.
func (k NoticeKind) Valid() bool { return k >= NoticeBackendServer && k <= NoticeQuarantine }

// NoticeKey identifies the object of a notice.
type NoticeKey struct {
	Kind NoticeKind `json:"kind"`
	Name string     `json:"name"`
}

// Notice is a drain or a quarantine that instances distribute among each other.
type Notice struct {
	NoticeKey
	// Stamp orders the notices of one key; Origin breaks ties.
	Stamp  uint64 `json:"stamp"`
	Origin string `json:"origin"`
	// Expires is the time at which the notice or its withdrawal ends.
	Expires time.Time `json:"expires"`
	// Withdrawn means that the notice is no longer in force.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Local keeps the notice inside its data centre.
	Local bool `json:"local,omitempty"`
	// Reason explains the notice to operators in one short line.
	Reason string `json:"reason,omitempty"`
}

// Active reports whether the notice is in force at the given time.
func (n Notice) Active(now time.Time) bool { return !n.Withdrawn && now.Before(n.Expires) }

// newerThan reports whether the notice replaces another one of the same key.
func (n Notice) newerThan(other Notice) bool {
	if n.Stamp != other.Stamp {
		return n.Stamp > other.Stamp
	}
	if n.Withdrawn != other.Withdrawn {
		return n.Withdrawn
	}
	return n.Origin > other.Origin
}
