package membership

// Health is what the other instances believe about one.
type Health uint8

// The states of health; under one incarnation the higher replaces the lower.
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
