package reach

// State says whether an instance reaches the servers of a service.
type State uint8

// The states of a service.
const (
	// Reached means that nothing failed since the last new connection, or that the service has no servers.
	Reached State = iota
	// Suspected means that something failed and no connection was opened since.
	Suspected
	// CutOff means that the instance reaches none of the servers.
	CutOff
)
