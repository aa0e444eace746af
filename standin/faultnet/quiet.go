package faultnet

// Quiet is a logger that drops the lines about broken connections, which are
// wanted here.
type DiscardLogger struct{}

// Printf implements the HTTP library's logger.
func (DiscardLogger) Printf(string, ...any) {}
