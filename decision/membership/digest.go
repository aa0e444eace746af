package membership

// DigestKind tells whether a digest asks for a reply, is one, or needs none.
type DigestKind uint8

// The kinds of digest.
const (
	// Probe asks for a reply.
	Probe DigestKind = iota + 1
	// Reply answers a probe.
	Reply
	// Update needs no reply.
	Update
)

// Digest is the content of one datagram between two instances.
type Digest struct {
	Kind DigestKind
	// From is the sender's own record.
	From Record
	// To is the name of the receiver; any other instance drops the digest.
	To string
	// Sequence grows with every digest of one incarnation of the sender.
	Sequence uint64
	// ProbeSequence is the sequence of the probe that a reply answers, zero otherwise.
	ProbeSequence uint64
	Records       []Record
	Notices       []Notice
	Reports       []Report
}
