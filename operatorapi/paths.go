package operatorapi

// Paths of the operator listener.
const (
	// LivePath and ReadyPath need no token.
	LivePath  = "/v1/live"
	ReadyPath = "/v1/ready"
	// DumpPath returns a dump.Instance. It takes PeerArgument,
	// DecisionsArgument and AboutArgument.
	DumpPath = "/v1/dump"
	// DumpsPath returns a dump.Estate: the dumps of all instances. It takes
	// DecisionsArgument.
	DumpsPath   = "/v1/dumps"
	MetricsPath = "/v1/metrics"
	// RevisionPath returns an InstanceRevision.
	RevisionPath = "/v1/revision"
	// CommandPath takes a Request and returns a Response.
	CommandPath = "/v1/command"
)

// Query arguments of DumpPath and DumpsPath.
const (
	// PeerArgument names the instance whose dump is requested.
	PeerArgument = "peer"
	// DecisionsArgument bounds the number of decisions in the dump.
	DecisionsArgument = "decisions"
	// AboutArgument selects the decisions about a subject or a backend server.
	AboutArgument = "about"
)

// DefaultDecisions is the number of decisions in a dump without
// DecisionsArgument.
const DefaultDecisions = 100
