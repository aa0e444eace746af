package objectstore

// Object is one stored value with its version.
type Object struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Change is one update seen by a watch.
type Change struct {
	Object
	Deleted bool `json:"deleted,omitempty"`
}
