package centreloss

// Verdict is the answer to the question whether a server was lost together with others.
type Verdict struct {
	// Lost is set when most servers of the group were lost in the same moment as the server asked about.
	Lost bool
	// Silent are the others that fell silent in that moment.
	Silent []string
}
