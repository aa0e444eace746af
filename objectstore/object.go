package objectstore

// Object is a stored value with its key and version.
type Object struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Change is one change that a watch returns.
type Change struct {
	Object
	Deleted bool `json:"deleted,omitempty"`
}
