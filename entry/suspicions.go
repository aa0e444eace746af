package entry

import "context"

// suspicionPeers implements guard.Peers with the membership table and the client
// for peers.
type suspicionPeers struct{ entry *Entry }

// Addresses implements guard.Peers.
func (p suspicionPeers) Addresses() []string {
	var addresses []string
	for _, record := range p.entry.control.members.View().Members {
		if record.Live() && record.Peer.Instance != p.entry.settings.Instance {
			addresses = append(addresses, record.Peer.Peers)
		}
	}
	return addresses
}

// Suspicions implements guard.Peers.
func (p suspicionPeers) Suspicions(ctx context.Context, address string, digest []byte) ([]byte, error) {
	return p.entry.control.client.Suspicions(ctx, address, digest)
}
