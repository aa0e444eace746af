package operatorapi

// Paths of the operator listener.
const (
	// LivePath and ReadyPath need no token.
	LivePath  = "/v1/live"
	ReadyPath = "/v1/ready"
	// DumpPath answers dump.Instance. The argument PeerArgument names another
	// instance.
	DumpPath = "/v1/dump"
	// DumpsPath answers dump.Estate: the dumps of every instance.
	DumpsPath   = "/v1/dumps"
	MetricsPath = "/v1/metrics"
	// RevisionPath answers InstanceRevision.
	RevisionPath = "/v1/revision"
	// CommandPath takes a Request and answers a Response.
	CommandPath = "/v1/command"
)

// PeerArgument names the instance whose dump is wanted.
const PeerArgument = "peer"
