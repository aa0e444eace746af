package discovery

// RelayRole is the part that an instance has in following the object store for its data centre.
type RelayRole uint8

// The roles of an instance.
const (
	// Passive makes no calls; other instances follow the store.
	Passive RelayRole = iota
	// Substitute follows the store in place of relays that can't reach it, with longer
	// waits after failed calls.
	Substitute
	// Backup follows the store beside the first relay, with fewer calls for servers.
	Backup
	// Primary is the role of the first relay.
	Primary
)
