package faultnet

// DiscardLogger is a logger that discards all lines: the HTTP library logs broken
// connections, which the stand-ins cause on purpose.
type DiscardLogger struct{}

// Printf implements the HTTP library's logger interface.
func (DiscardLogger) Printf(string, ...any) {}
