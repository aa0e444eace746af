package http1

import "strings"

// parseFields parses header lines up to the empty line that ends them.
func parseFields(text string) (Fields, error) {
	fields := make(Fields, 0, 16)
	for {
		line, rest, found := strings.Cut(text, "\r\n")
		if !found {
			return nil, malformed("header", "no end")
		}
		if line == "" {
			return fields, nil
		}
		field, err := parseField(line)
		if err != nil {
			return nil, err
		}
		fields = append(fields, field)
		text = rest
	}
}

// parseField parses one header line without its line end.
func parseField(line string) (Field, error) {
	name, value, found := strings.Cut(line, ":")
	if !found || !isToken(name) {
		return Field{}, malformed("header", "a line is not a header field")
	}
	value = strings.Trim(value, " \t")
	if !isFieldValue(value) {
		return Field{}, malformed(name, "a control character in its value")
	}
	return Field{Name: name, Value: value}, nil
}

// isToken reports whether a text is a token as defined by RFC 9110.
func isToken(text string) bool {
	if text == "" {
		return false
	}
	for i := range len(text) {
		c := text[i]
		letter := (c|0x20) >= 'a' && (c|0x20) <= 'z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return true
}

// isFieldValue reports whether a text has no control characters other than tabs.
func isFieldValue(text string) bool {
	for i := range len(text) {
		if (text[i] < ' ' && text[i] != '\t') || text[i] == 0x7f {
			return false
		}
	}
	return true
}
