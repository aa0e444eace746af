package operatorapi

// Paths of the operator listener.
const (
	// LivePath and ReadyPath need no token.
	LivePath  = "/v1/live"
	ReadyPath = "/v1/ready"
	// DumpPath answers dump.Instance. It takes PeerArgument,
	// DecisionsArgument and AboutArgument.
	DumpPath = "/v1/dump"
	// DumpsPath answers dump.Estate: the dumps of every instance. It takes
	// DecisionsArgument.
	DumpsPath   = "/v1/dumps"
	MetricsPath = "/v1/metrics"
	// RevisionPath answers InstanceRevision.
	RevisionPath = "/v1/revision"
	// CommandPath takes a Request and answers a Response.
	CommandPath = "/v1/command"
)

// Arguments of dumps.
const (
	// PeerArgument names the instance whose dump is wanted.
	PeerArgument = "peer"
	// DecisionsArgument bounds the number of decisions in the dump.
	DecisionsArgument = "decisions"
	// AboutArgument asks for the decisions about a subject or a backend server.
	AboutArgument = "about"
)

// DefaultDecisions is the number of decisions without an argument.
const DefaultDecisions = 100
