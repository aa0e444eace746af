package rollouts

import (
	"slices"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

// Choice says which servers an attempt may use. The zero value admits all.
type Choice struct {
	// only is the version that is used; empty for any. not are versions that aren't.
	only string
	not  []string
	// sample holds the ids of the servers that are used of version only; nil for all.
	sample map[string]bool
}

// Admits reports whether a server may be used.
func (c *Choice) Admits(server *directory.Server) bool {
	if c.only != "" && server.SoftwareVersion != c.only {
		return false
	}
	if slices.Contains(c.not, server.SoftwareVersion) {
		return false
	}
	return c.sample == nil || c.sample[server.ID]
}

// Draw is whether a request is among those that try a new version. The zero value is not drawn yet.
type Draw struct {
	order    uint64
	takesNew bool
}
