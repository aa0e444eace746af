package command

import "github.com/alecthomas/participle/v2/lexer"

// Show lists the objects of one kind.
type Show struct {
	Pos   lexer.Position
	Kind  Name         `parser:"'show' @@"`
	Where []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Sort  *Sort        `parser:"( 'sort' @@ )?"`
	Limit *Number      `parser:"( 'limit' @@ )?"`
}

// Condition compares one column with a value.
type Condition struct {
	Pos      lexer.Position
	Column   string `parser:"@Word"`
	Operator string `parser:"@Operator"`
	Value    string `parser:"@( Word | String )"`
}

// Sort orders the rows by one column.
type Sort struct {
	Pos        lexer.Position
	Column     string `parser:"@Word"`
	Descending bool   `parser:"( @'desc' | 'asc' )?"`
}
