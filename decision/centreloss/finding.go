package centreloss

// Finding is what connection attempts to a server have shown.
type Finding int

const (
	// Reached means that the machine accepted a connection.
	Reached Finding = iota
	// Unanswered means that no attempt was answered.
	Unanswered
	// Refused means that the machine refused a connection: no process listens.
	Refused
)
