package http1

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against endless reading of a chunked body that has hardly any data, or a trailer without end.
func TestFramingWithoutDataIsBounded(t *testing.T) {
	for name, text := range map[string]string{
		"trailer":          "0\r\n" + strings.Repeat("X-A: b\r\n", 100_000),
		"chunk extensions": strings.Repeat("1;"+strings.Repeat("e", 240)+"\r\nx\r\n", 4096),
		"one-byte chunks":  strings.Repeat("1\r\nx\r\n", 500_000),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reader := NewReader(strings.NewReader(text))
			_, err := reader.Body(Framing{Kind: FramingChunked}).ReadAll(1 << 20)
			is.Equal(err, error(malformed("chunk", "more framing than data")))
			is.True(reader.Received() < 512<<10)
		})
	}
}

// Guards against a bound on framing that fails sound bodies: chunks of one byte, long extensions of few.
func TestFramingOfSoundBodiesIsAccepted(t *testing.T) {
	is := is.New(t)
	text := "1;" + strings.Repeat("e", 200) + "\r\nx\r\n" + strings.Repeat("1\r\nx\r\n", 59_999) + strings.Repeat("5\r\nabcde\r\n", 8000) + "0\r\nX-A: b\r\n\r\n"
	body, err := NewReader(strings.NewReader(text)).Body(Framing{Kind: FramingChunked}).ReadAll(1 << 20)
	is.NoErr(err)
	is.Equal(len(body), 100_000)
}
