package simengine

import "github.com/wisteriahaven/wisteriahaven/rollinghash"

// Oracle records which token an engine produced after which prefix and where an
// engine ended an answer. It takes records from engines only, never a machine.
type Oracle struct {
	successors map[successor]bool
	ends       map[rollinghash.Hash]bool
}

// successor is a version's token after the prefix with the hash.
type successor struct {
	version string
	prefix  rollinghash.Hash
	token   string
}

func newOracle() *Oracle {
	return &Oracle{successors: make(map[successor]bool), ends: make(map[rollinghash.Hash]bool)}
}

// Valid reports whether an engine of the version produced the token after
// exactly the prefix.
func (o *Oracle) Valid(version string, prefix rollinghash.Hash, token string) bool {
	return o.successors[successor{version, prefix, token}]
}

// Complete reports whether an engine ended its answer after the prefix.
func (o *Oracle) Complete(prefix rollinghash.Hash) bool { return o.ends[prefix] }
