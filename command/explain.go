package command

// Explain asks why something was decided.
type Explain struct {
	Kind string `parser:"'explain' @( 'request' | 'generation' | 'backend-server' | 'client-account' | 'revision' )"`
	ID   Name   `parser:"@@"`
}
