package discovery

// Duty says whether an instance follows the object store.
type RelayRole uint8

// The duties.
const (
	// Listen leaves it to others.
	Passive RelayRole = iota
	// StandIn follows the store for relays that can't reach it, with few calls.
	Substitute
	// Backup follows the store beside the first relay, with fewer calls.
	Backup
	// Follow the store.
	Primary
)
