package generation

// Stream names one stream of one boot of an engine.
type Stream struct {
	Server string
	ID     string
	BootID string
}
