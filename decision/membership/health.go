package membership

// Health is the state of an instance as the other instances see it.
type Health uint8

// The states of health. At the same incarnation the higher value replaces the lower one.
const (
	Alive Health = iota
	Suspect
	Dead
)

// String returns the name of the state.
func (h Health) String() string {
	switch h {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "invalid"
	}
}

// MarshalText writes the name of the state.
func (h Health) MarshalText() ([]byte, error) { return []byte(h.String()), nil }
