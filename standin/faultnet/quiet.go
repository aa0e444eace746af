package faultnet

// Quiet is a logger that discards all lines: the HTTP library logs broken
// connections, which the stand-ins cause on purpose.
type Quiet struct{}

// Printf implements the HTTP library's logger interface.
func (Quiet) Printf(string, ...any) {}
