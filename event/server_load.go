package event

import "github.com/rs/zerolog"

// Events of the picture of the servers' load, and of the share of requests that leaves a data centre; numbered from 7090.
var (
	ServerLoadIgnored   = Definition{7090, "server_load_ignored", zerolog.WarnLevel, "a figure that a backend server states about its load is impossible and has no effect", "check the server"}
	LeavingShareChanged = Definition{7092, "leaving_share_changed", zerolog.InfoLevel, "the share of a service's requests that leaves the data centre has changed; the fields give it in percent, what this instance itself finds, and the servers and the wait at home", "look for lost servers if it stays high"}
	PeerLoadIgnored     = Definition{7091, "peer_load_ignored", zerolog.InfoLevel, "figures of a peer about the speed of backend servers are impossible or too old and have no effect", "check the peer's links and version"}
)

var serverLoadEvents = []Definition{ServerLoadIgnored, PeerLoadIgnored, LeavingShareChanged}
