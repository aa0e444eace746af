package cursor

import "github.com/wisteriahaven/wisteriahaven/rollinghash"

// Position is the content of a cursor: the position of a caller in one answer.
type Position struct {
	Request Fingerprint
	// Server, StreamID and BootID name the engine stream that produced the
	// last delivered token.
	Server   string
	StreamID string
	BootID   string
	// Model and Version are pinned for the whole answer.
	Model   string
	Version string
	Seed    uint64
	// Attempt is the number of the attempt that delivered the last token.
	Attempt uint32
	// Offset counts the delivered tokens; Hash is the hash over them.
	Offset int
	Hash   rollinghash.Hash
	// AnchorOffset is a position at or shortly before Offset and AnchorHash
	// the hash there. A reattached stream starts at the anchor and must reach
	// Hash at Offset.
	AnchorOffset int
	AnchorHash   rollinghash.Hash
}
