package message

// Urgency is the order in which a backend server starts the requests that wait there. The zero value leaves it to the server.
type Urgency int

// Urgencies that are stated to a server.
const (
	MostUrgent  Urgency = 1
	LeastUrgent Urgency = 10
	// YieldingUrgency is that of requests which start after those that state none.
	YieldingUrgency Urgency = 8
)
