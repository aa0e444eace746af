package discovery

// Duty says whether an instance follows the object store.
type Duty uint8

// The duties.
const (
	// Listen leaves it to others.
	Listen Duty = iota
	// StandIn follows the store for relays that can't reach it, with few calls.
	StandIn
	// Backup follows the store beside the first relay, with fewer calls.
	Backup
	// Follow the store.
	Follow
)
