package poison

import "slices"

// MaxParts is the maximum number of parts of a prompt that are considered.
const MaxParts = 16

// Run holds the keys of a request that a server runs.
type Run struct {
	Request Key
	// Parts are the keys of the parts of its prompt that other requests may share, from the one that most
	// share to the one that the fewest do; at most MaxParts.
	Parts []Key
}

// holds reports whether a key is that of the request or of one of its parts.
func (r Run) holds(key Key) bool { return r.Request == key || slices.Contains(r.Parts, key) }

// keys returns all keys.
func (r Run) keys() []Key { return append([]Key{r.Request}, r.Parts...) }
