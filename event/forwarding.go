package event

import "github.com/rs/zerolog"

// Events of forwarded requests, numbered from 7000.
var (
	RequestServed       = Definition{7000, "request_served", zerolog.InfoLevel, "a request got its backend server's answer", "none"}
	RequestRejected     = Definition{7001, "request_rejected", zerolog.InfoLevel, "a request was answered here without an answer of a backend server; code says why, execution whether it may have run", "look the code up in docs/operations/errors.md"}
	RequestBroken       = Definition{7002, "request_broken", zerolog.WarnLevel, "an answer was broken off midway", "follow the request's attempts"}
	ClientDisconnected  = Definition{7003, "client_left", zerolog.InfoLevel, "a client left before its answer; its attempts were cut", "none"}
	AttemptFailed       = Definition{7004, "attempt_failed", zerolog.InfoLevel, "one backend server failed a request; code and the following lines say what happened then", "look at the backend server when it is often the same"}
	StreamResumed       = Definition{7005, "stream_continued", zerolog.InfoLevel, "a broken stream goes on at another backend server; copy says whether from a copy of its KV cache", "none"}
	RequestSent         = Definition{7006, "request_sent", zerolog.InfoLevel, "a request was sent to a backend server; the fields say what decided the choice", "none"}
	ReportInvalid       = Definition{7009, "report_invalid", zerolog.WarnLevel, "a backend server's report about its work could not be read", "check the server"}
	ServerSuspected     = Definition{7010, "server_suspected", zerolog.InfoLevel, "a backend server is avoided for a while", "check the server when it repeats"}
	ServerAdopted       = Definition{7012, "server_adopted", zerolog.InfoLevel, "a restarted backend server was found at its address before the store told of it", "none"}
	SecondSendDenied    = Definition{7013, "second_send_denied", zerolog.InfoLevel, "a request was not sent to another backend server because the bound on second sends is reached; the fields say how often this instance and its data centre used it", "look for the servers that fail"}
	ServerChanged       = Definition{7011, "server_changed", zerolog.InfoLevel, "a backend server was added, changed or removed", "none"}
	StoreUnavailable    = Definition{7020, "store_lost", zerolog.WarnLevel, "the object store does not answer; the instance goes on with what it knows", "check the platform"}
	StoreAvailable      = Definition{7021, "store_regained", zerolog.InfoLevel, "the object store answers again", "none"}
	StoreObjectInvalid  = Definition{7022, "store_object_invalid", zerolog.WarnLevel, "an object in the store can't be used and is ignored", "look at who wrote it"}
	StoreHistoryGone    = Definition{7023, "store_history_gone", zerolog.InfoLevel, "the store dropped its history: everything is listed again", "none"}
	ReadinessChanged    = Definition{7030, "readiness_changed", zerolog.InfoLevel, "the instance became ready or unready", "none"}
	LogLinesDropped     = Definition{7031, "log_lines_dropped", zerolog.WarnLevel, "log lines were dropped because output was slower than the load", "none; counters on the metrics address are complete"}
	PeerServersReceived = Definition{7032, "peer_servers", zerolog.InfoLevel, "the list of backend servers came from another instance because the store can't be reached", "check the link to the platform"}
	PeerDigestInvalid   = Definition{7036, "peer_digest_invalid", zerolog.WarnLevel, "a datagram on the instances' port could not be read", "check who sends it"}
	PeerFetchFailed     = Definition{7037, "peer_fetch_failed", zerolog.InfoLevel, "another instance that knows more could not be asked", "none while it is retried"}
	ProcessResumed      = Definition{7033, "process_resumed", zerolog.WarnLevel, "the process did not run for a while", "check the machine"}
	AcceptFailed        = Definition{7035, "accept_failed", zerolog.WarnLevel, "a client's connection could not be accepted", "check the descriptors of the process"}
	SettingsReloaded    = Definition{7034, "settings_reloaded", zerolog.InfoLevel, "the settings were read again and hold, but for the fields in next_start", "restart the instance for those"}
	SettingsInvalid     = Definition{7038, "settings_invalid", zerolog.WarnLevel, "the settings were read again and can't be used: the ones before stay", "correct the file"}
)

var forwardingEvents = []Definition{
	RequestServed, RequestRejected, RequestBroken, ClientDisconnected, AttemptFailed, StreamResumed, RequestSent, ReportInvalid,
	ServerSuspected, SecondSendDenied, ServerChanged, ServerAdopted, StoreUnavailable, StoreAvailable, StoreObjectInvalid, StoreHistoryGone,
	ReadinessChanged, LogLinesDropped, PeerServersReceived, PeerDigestInvalid, PeerFetchFailed, ProcessResumed, SettingsReloaded, SettingsInvalid, AcceptFailed,
}
