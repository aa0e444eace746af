package membership

// DigestKind says what the sender of a digest expects.
type DigestKind uint8

// The kinds of digest.
const (
	// Probe asks for an answer.
	Probe DigestKind = iota + 1
	// Reply answers a probe.
	Reply
	// News asks for nothing.
	Update
)

// Digest is one datagram between two instances.
type Digest struct {
	Kind DigestKind
	// From is the sender's own record.
	From Record
	// To is the name of the receiver; others drop the digest.
	To string
	// Sequence grows with every digest of one incarnation of the sender.
	Sequence uint64
	// Answers is the sequence of the probe that a reply answers.
	ProbeSequence uint64
	Records       []Record
	Notices       []Notice
	Reports       []Report
}
