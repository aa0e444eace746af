package command

// Admit adds a firm and everything else that a file declares with it.
type Admit struct {
	File Name    `parser:"'admit' 'firm' 'from' @@"`
	If   *Number `parser:"( 'if' 'revision' @@ )?"`
}

// Drain declares that an object takes no new work, or lifts such a drain.
type Drain struct {
	Verb string `parser:"@( 'drain' | 'undrain' )"`
	Kind string `parser:"@( 'backend-server' | 'instance' | 'data-centre' )"`
	Name Name   `parser:"@@"`
	// Local makes it a local drain, valid in one data centre only, if the
	// platform is unavailable.
	Local bool    `parser:"( @'--local' )?"`
	If    *Number `parser:"( 'if' 'revision' @@ )?"`
}

// Shift sends a percentage of a model's load from one region to another; 0
// ends the shift.
type Shift struct {
	Percent Number  `parser:"'shift' @@ '%'?"`
	Model   Name    `parser:"'of' 'model' @@"`
	From    Name    `parser:"'from' @@"`
	To      Name    `parser:"'to' @@"`
	If      *Number `parser:"( 'if' 'revision' @@ )?"`
}

// Set changes one field of one object.
type Set struct {
	Path  Name    `parser:"'set' @@"`
	Value Value   `parser:"@@"`
	If    *Number `parser:"( 'if' 'revision' @@ )?"`
}

// Value is one value or a list of values.
type Value struct {
	IsList bool     `parser:"  @'['"`
	List   []string `parser:"( @( Word | String ) ( ',' @( Word | String ) )* )? ']'"`
	Single *string  `parser:"| @( Word | String )"`
}

// Diff compares the configuration with a file.
type Diff struct {
	File Name `parser:"'diff' @@"`
}

// Apply replaces the whole configuration with the content of a file.
type Apply struct {
	File Name    `parser:"'apply' @@"`
	If   *Number `parser:"( 'if' 'revision' @@ )?"`
}

// Release lets a quarantined request run again.
type Release struct {
	Fingerprint Name `parser:"'release' @@"`
}

// Help lists all commands or explains one.
type Help struct {
	Help  bool    `parser:"@'help'"`
	Topic *string `parser:"@Word?"`
}
