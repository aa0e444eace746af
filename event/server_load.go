package event

import "github.com/rs/zerolog"

// Events of the picture of the servers' load, and of the share of requests that leaves a data centre; numbered from 7090.
var (
	ServerLoadIgnored = Definition{7090, "server_load_ignored", zerolog.WarnLevel, "a figure that a backend server states about its load is impossible and has no effect", "check the server"}
	PeerLoadIgnored   = Definition{7091, "peer_load_ignored", zerolog.InfoLevel, "figures of a peer about the speed of backend servers are impossible or too old and have no effect", "check the peer's links and version"}
)

var serverLoadEvents = []Definition{ServerLoadIgnored, PeerLoadIgnored}
