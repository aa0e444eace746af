package command

import (
	"errors"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// maxScriptBytes bounds the length of a script.
const maxScriptBytes = 1 << 20

var grammar = participle.MustBuild[Script](
	participle.Lexer(tokens),
	participle.Elide("comment", "space"),
	participle.UseLookahead(2),
)

// Parse parses a script. The error is a *fault.Error of code CommandSyntax
// whose field is "line l, column c" and whose reason states what was expected.
func Parse(text string) (*Script, error) {
	if len(text) > maxScriptBytes {
		return nil, fault.New(fault.CommandSyntax, "the script is longer than "+strconv.Itoa(maxScriptBytes)+" bytes")
	}
	script, err := grammar.ParseString("", text)
	if err == nil {
		return script, nil
	}
	return nil, syntaxError(err)
}

// ParseOne parses a text that holds exactly one command.
func ParseOne(text string) (*Command, error) {
	script, err := Parse(text)
	if err != nil {
		return nil, err
	}
	if len(script.Commands) != 1 {
		return nil, fault.New(fault.CommandSyntax, "expected one command; found "+strconv.Itoa(len(script.Commands)))
	}
	return script.Commands[0], nil
}

func syntaxError(err error) error {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		return errorAt(fault.CommandSyntax, unexpected.Unexpected.Pos, unexpectedReason(unexpected))
	}
	var typed participle.Error
	if errors.As(err, &typed) && strings.Contains(typed.Message(), "invalid input text") {
		return errorAt(fault.CommandSyntax, typed.Position(), "unexpected character or unterminated string; expected a word")
	}
	if errors.As(err, &typed) {
		return errorAt(fault.CommandSyntax, typed.Position(), typed.Message())
	}
	return fault.Wrap(fault.CommandSyntax, "command", "the script can't be parsed", err)
}

func unexpectedReason(unexpected *participle.UnexpectedTokenError) string {
	found := "\"" + unexpected.Unexpected.Value + "\""
	switch {
	case unexpected.Unexpected.EOF():
		found = "the end"
	case unexpected.Unexpected.Value == "\n":
		found = "the end of the line"
	}
	_, expected, _ := strings.Cut(unexpected.Message(), "(expected ")
	expected = strings.TrimSuffix(expected, ")")
	if expected == "" || strings.Contains(expected, "Script") || strings.Contains(expected, "EOL") {
		expected = "the end of the command, or one of " + strings.Join(verbNames(), ", ")
	}
	return "unexpected " + found + "; expected " + tokenNames.Replace(expected)
}

// tokenNames replaces the grammar's token and rule names by readable ones.
var tokenNames = strings.NewReplacer(
	"<word>", "a word", "<string>", "a string", "<operator>", "a comparison (= != < <= > >= ~)",
	"(a word | a string)", "a name",
	"Condition", "a condition", "Name", "a name", "Number", "a number", "Value", "a value", "Sort", "a column",
)

// errorAt returns an error at a position of the script.
func errorAt(code fault.Code, position lexer.Position, reason string) error {
	return &fault.Error{Code: code, Field: positionText(position), Reason: reason}
}

func positionText(position lexer.Position) string {
	return "line " + strconv.Itoa(position.Line) + ", column " + strconv.Itoa(position.Column)
}

// String returns the name without quotes.
func (n Name) String() string { return unquote(n.Text) }

func unquote(text string) string {
	if !strings.HasPrefix(text, "\"") {
		return text
	}
	plain, err := strconv.Unquote(text)
	if err != nil {
		return strings.Trim(text, "\"")
	}
	return plain
}

// parse returns the value of the number, which must be from minimum to maximum.
func (n Number) parse(minimum, maximum uint64) (uint64, error) {
	value, err := strconv.ParseUint(n.Text, 10, 64)
	if err != nil || value < minimum || value > maximum {
		return 0, errorAt(fault.CommandSyntax, n.Pos, "unexpected \""+n.Text+"\"; expected a whole number from "+strconv.FormatUint(minimum, 10)+" to "+strconv.FormatUint(maximum, 10))
	}
	return value, nil
}

// String returns the text of the command on one line, without comments.
func (c *Command) String() string {
	var text strings.Builder
	previous := ""
	for _, token := range c.Tokens {
		word := strings.TrimSpace(token.Value)
		if word == "" || strings.HasPrefix(word, "#") {
			continue
		}
		if previous != "" && previous != "[" && word != "%" && word != "," && word != "]" {
			text.WriteByte(' ')
		}
		text.WriteString(word)
		previous = word
	}
	return text.String()
}
