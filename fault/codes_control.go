package fault

import "net/http"

// Failures between instances and of orders.
const (
	PeerUnauthenticated Code = "peer_unauthenticated"
	PeerMessage         Code = "peer_message"
	PeerUnreachable     Code = "peer_unreachable"
	FencingRejected     Code = "fencing_rejected"
)

var controlDefinitions = map[Code]Definition{
	PeerUnauthenticated: {http.StatusUnauthorized, "a peer message carries no valid authentication", "check the peer keys of both instances"},
	PeerMessage:         {http.StatusBadRequest, "a peer message is malformed, truncated or oversized", "check the versions of both instances"},
	PeerUnreachable:     {http.StatusBadGateway, "the peer did not answer", "check the peer and the link"},
	FencingRejected:     {http.StatusConflict, "the order carries an outdated fencing token", "none: a newer lease holder gives the orders"},
}
