package brokenanswer

import "strconv"

// Malformed returns answers that are no HTTP, or not those of a sound server, by what is wrong with them. Each has
// the given lines in its head, each with its line end, and a body.
func Malformed(fields, body string) map[string]string {
	length := strconv.Itoa(len(body))
	size := strconv.FormatInt(int64(len(body)), 16)
	withStatus := func(line string) string {
		return line + "\r\n" + fields + "Content-Length: " + length + "\r\n\r\n" + body
	}
	withLine := func(line string) string { return withStatus("HTTP/1.1 200 OK\r\n" + line) }
	framedBy := func(line, framed string) string { return "HTTP/1.1 200 OK\r\n" + fields + line + "\r\n\r\n" + framed }
	chunked := func(sizeLine, afterData, trailer string) string {
		return framedBy("Transfer-Encoding: chunked", sizeLine+"\r\n"+body+afterData+"0\r\n"+trailer+"\r\n")
	}
	chunks := size + "\r\n" + body + "\r\n0\r\n\r\n"
	return map[string]string{
		"status 000":                         withStatus("HTTP/1.1 000 OK"),
		"status 099":                         withStatus("HTTP/1.1 099 OK"),
		"status 600":                         withStatus("HTTP/1.1 600 OK"),
		"status 999":                         withStatus("HTTP/1.1 999 OK"),
		"status of two digits":               withStatus("HTTP/1.1 20 OK"),
		"status of four digits":              withStatus("HTTP/1.1 2000 OK"),
		"status with a sign":                 withStatus("HTTP/1.1 +200 OK"),
		"status below zero":                  withStatus("HTTP/1.1 -20 OK"),
		"status with a blank":                withStatus("HTTP/1.1 2 0 OK"),
		"status with letters":                withStatus("HTTP/1.1 2OO OK"),
		"no status":                          withStatus("HTTP/1.1 "),
		"two blanks before the status":       withStatus("HTTP/1.1  200 OK"),
		"tab after the status":               withStatus("HTTP/1.1 200\tOK"),
		"reason with a NUL":                  withStatus("HTTP/1.1 200 O\x00K"),
		"reason with an escape":              withStatus("HTTP/1.1 200 \x1b[31mOK"),
		"switched protocol":                  withStatus("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK"),
		"other version":                      withStatus("HTTP/1.0 200 OK"),
		"unknown version":                    withStatus("HTTP/2.0 200 OK"),
		"other protocol":                     withStatus("ICY 200 OK"),
		"blank in a name":                    withLine("X Trouble: 1"),
		"blank after a name":                 withLine("X-Trouble : 1"),
		"tab after a name":                   withLine("X-Trouble\t: 1"),
		"blank before a name":                withLine(" X-Trouble: 1"),
		"NUL in a name":                      withLine("X-\x00Trouble: 1"),
		"control byte in a name":             withLine("X-\x0bTrouble: 1"),
		"delete byte in a name":              withLine("X-\x7fTrouble: 1"),
		"byte over 127 in a name":            withLine("X-\xa0Trouble: 1"),
		"no name":                            withLine(": 1"),
		"no colon":                           withLine("X-Trouble"),
		"NUL in a value":                     withLine("X-Trouble: 1\x002"),
		"control byte in a value":            withLine("X-Trouble: 1\x0b2"),
		"folded value":                       withLine("X-Trouble: 1\r\n 2"),
		"bare line feed":                     withLine("X-Trouble: 1\nX-Other: 2"),
		"bare carriage return":               withLine("X-Trouble: 1\rX-Other: 2"),
		"second length":                      withLine("Content-Length: " + length),
		"other length":                       withLine("Content-Length: 3"),
		"length and chunks":                  withLine("Transfer-Encoding: chunked"),
		"blank after the length's name":      framedBy("Content-Length : 3", body),
		"blank in the length's name":         framedBy("Content Length: 3", body),
		"control byte in the length's name":  framedBy("Content-\x01Length: 3", body),
		"length with a sign":                 framedBy("Content-Length: +"+length, body),
		"length that is no number":           framedBy("Content-Length: six", body),
		"empty length":                       framedBy("Content-Length:", body),
		"blank after the name of the coding": framedBy("Transfer-Encoding : chunked", chunks),
		"control byte before the coding":     framedBy("\x0bTransfer-Encoding: chunked", chunks),
		"unknown coding":                     framedBy("Transfer-Encoding: gzip, chunked", chunks),
		"chunk size that is no number":       chunked(size+"x", "\r\n", ""),
		"chunk without its line end":         chunked(size, "", ""),
		"control byte in a chunk's line":     chunked(size+";a=\x01", "\r\n", ""),
		"blank in a trailer's name":          chunked(size, "\r\n", "X Trouble: 1\r\n"),
		"control byte in a trailer's name":   chunked(size, "\r\n", "X-\x01Trouble: 1\r\n"),
		"trailer that is another answer":     chunked(size, "\r\n", "HTTP/1.1 200 OK\r\n"),
	}
}

// Cut returns answers that end early, by the place, for a server that ends its connection after them. Each has the given
// lines in its head, each with its line end, and a body of at least two bytes.
func Cut(fields, body string) map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + fields
	length := strconv.Itoa(len(body))
	half := body[:len(body)/2]
	chunk := strconv.FormatInt(int64(len(half)), 16) + "\r\n" + half
	return map[string]string{
		"nothing":                 "",
		"part of the status line": head[:10],
		"part of a field":         head[:len(head)-3],
		"no end of the head":      head + "Content-Length: " + length + "\r\n",
		"no body":                 head + "Content-Length: " + length + "\r\n\r\n",
		"part of the body":        head + "Content-Length: " + length + "\r\n\r\n" + half,
		unsizedPart:               head + "\r\n" + half,
		"no chunk":                head + "Transfer-Encoding: chunked\r\n\r\n",
		"part of a chunk":         head + "Transfer-Encoding: chunked\r\n\r\n" + chunk[:len(chunk)-1],
		"no last chunk":           head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "\r\n",
		"part of the last chunk":  head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "\r\n0\r\n",
	}
}

// unsizedPart is the key of the part of a body that has neither a length nor chunks.
const unsizedPart = "part of a body without size"

// All returns ways to answer that can't be trusted, by what is wrong with them: all of Malformed and Cut, with the
// connection left open, ended or reset. Answers have the given lines in their heads, each with its line end, and a
// body of at least two bytes. Where a part of a body without a size ends in order, only the body can show that it is
// a part; such an answer is included if partShows is set.
func All(fields, body string, partShows bool) map[string]func(*Call) {
	answers := make(map[string]func(*Call))
	for name, text := range Malformed(fields, body) {
		answers[name] = func(c *Call) { c.Write(text) }
		answers[name+", closed"] = func(c *Call) { c.Write(text); c.Close() }
	}
	for name, text := range Cut(fields, body) {
		if name != unsizedPart || partShows {
			answers[name+", closed"] = func(c *Call) { c.Write(text); c.Close() }
		}
		answers[name+", reset"] = func(c *Call) { c.Write(text); c.Reset() }
	}
	answers["body without size, reset"] = func(c *Call) {
		c.Write("HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body)
		c.Reset()
	}
	return answers
}
