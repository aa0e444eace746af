package command

import "github.com/alecthomas/participle/v2/lexer"

// Name is a name with its position in the script.
type Name struct {
	Pos  lexer.Position
	Text string `parser:"@( Word | String )"`
}

// Number is a whole number with its position in the script.
type Number struct {
	Pos  lexer.Position
	Text string `parser:"@Word"`
}
