package discovery

// Duty is the part that an instance has in following the object store for its data centre.
type Duty uint8

// The roles of an instance.
const (
	// Listen makes no calls; other instances follow the store.
	Listen Duty = iota
	// StandIn follows the store in place of relays that can't reach it, with longer
	// waits after failed calls.
	StandIn
	// Backup follows the store beside the first relay, with fewer calls for servers.
	Backup
	// Follow is the role of the first relay.
	Follow
)
