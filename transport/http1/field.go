package http1

import "strings"

// Field is one header field as it was received, without surrounding white space.
type Field struct {
	Name  string
	Value string
}

// Fields holds the header fields of a message in the order received.
type Fields []Field

// Get returns the first value of a field, or "" if it is absent. Names are
// compared case-insensitively.
func (f Fields) Get(name string) string {
	for i := range f {
		if len(f[i].Name) == len(name) && strings.EqualFold(f[i].Name, name) {
			return f[i].Value
		}
	}
	return ""
}

// Count returns the number of times that a field occurs.
func (f Fields) Count(name string) int {
	count := 0
	for i := range f {
		if len(f[i].Name) == len(name) && strings.EqualFold(f[i].Name, name) {
			count++
		}
	}
	return count
}

// HasToken reports whether a comma-separated field contains a token.
func (f Fields) HasToken(name, token string) bool {
	for i := range f {
		if len(f[i].Name) != len(name) || !strings.EqualFold(f[i].Name, name) {
			continue
		}
		for part := range strings.SplitSeq(f[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// HopByHop reports whether a field concerns one connection only and is not
// forwarded (RFC 9110, section 7.6.1).
func HopByHop(name string) bool {
	switch len(name) {
	case 2:
		return strings.EqualFold(name, "TE")
	case 6:
		return strings.EqualFold(name, "Expect")
	case 7:
		return strings.EqualFold(name, "Trailer") || strings.EqualFold(name, "Upgrade")
	case 10:
		return strings.EqualFold(name, "Connection") || strings.EqualFold(name, "Keep-Alive")
	case 14:
		return strings.EqualFold(name, "Content-Length")
	case 16:
		return strings.EqualFold(name, "Proxy-Connection")
	case 17:
		return strings.EqualFold(name, "Transfer-Encoding")
	}
	return false
}
