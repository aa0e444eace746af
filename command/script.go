package command

import "github.com/alecthomas/participle/v2/lexer"

// Script is a list of commands, separated by line ends or ';'.
type Script struct {
	Commands []*Command `parser:"EOL* ( @@ ( EOL+ @@ )* )? EOL*"`
}

// Command is one command of the language; exactly one field is set.
type Command struct {
	Pos    lexer.Position
	Tokens []lexer.Token

	Show    *Show    `parser:"  @@"`
	Explain *Explain `parser:"| @@"`
	Admit   *Admit   `parser:"| @@"`
	Drain   *Drain   `parser:"| @@"`
	Shift   *Shift   `parser:"| @@"`
	Set     *Set     `parser:"| @@"`
	Diff    *Diff    `parser:"| @@"`
	Apply   *Apply   `parser:"| @@"`
	Release *Release `parser:"| @@"`
	Help    *Help    `parser:"| @@"`
}
