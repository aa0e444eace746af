package command

// Explain asks why something was decided.
type Explain struct {
	Kind string `parser:"'explain' @( 'request' | 'generation' | 'backend-server' | 'revision' )"`
	ID   Name   `parser:"@@"`
}
