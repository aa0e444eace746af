package generation

// Stream identifies one stream of one boot of an engine.
type Stream struct {
	Server string
	ID     string
	BootID string
}
