package event

import "github.com/rs/zerolog"

// Events of requests that wait for room and of slow readers, numbered from 7095.
var (
	RequestWaits       = Definition{7095, "request_waits", zerolog.InfoLevel, "a request waits until a backend server has room; ahead is the number of requests before it, longest_ms how long it may wait", "none while it is rare; add backend servers"}
	RequestAdmitted    = Definition{7096, "request_admitted", zerolog.InfoLevel, "a backend server has room for a request that waited", "none"}
	ClientTooSlow      = Definition{7098, "client_too_slow", zerolog.InfoLevel, "a client did not read its stream for so long that the stream was ended; its backend server is not blamed, and the client may resume the stream", "none; check the client's link if it repeats"}
	RequestNotAdmitted = Definition{7097, "request_not_admitted", zerolog.InfoLevel, "a request is refused for want of room; reason tells whether none was expected in time (expected), it waited as long as it may (waited), or requests of a higher rank or other client accounts took its place (displaced)", "add backend servers; compare ranks and client accounts of such requests"}
)

var admissionEvents = []Definition{RequestWaits, RequestAdmitted, RequestNotAdmitted, ClientTooSlow}
