package command

// Explain asks for the decisions about an object and their reasons.
type Explain struct {
	Kind string `parser:"'explain' @( 'request' | 'generation' | 'backend-server' | 'client-account' | 'revision' )"`
	ID   Name   `parser:"@@"`
}
