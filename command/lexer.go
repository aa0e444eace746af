package command

import "github.com/alecthomas/participle/v2/lexer"

// tokens defines the lexical tokens. Names, paths, numbers and file names are
// all tokens of type Word.
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "comment", Pattern: `#[^\n]*`},
	{Name: "space", Pattern: `[ \t\r]+`},
	{Name: "EOL", Pattern: `[\n;]`},
	{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>|~`},
	{Name: "Punct", Pattern: `[\[\],%]`},
	{Name: "Word", Pattern: `[^\s;"#=!<>~\[\],%]+`},
})
