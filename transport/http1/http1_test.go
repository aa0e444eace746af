package http1

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// pieceReader is a stub of a connection. It returns the given pieces, one for each
// read, and then the error end.
type pieceReader struct {
	pieces [][]byte
	end    error
}

func (s *pieceReader) Read(buffer []byte) (int, error) {
	if len(s.pieces) == 0 {
		return 0, s.end
	}
	n := copy(buffer, s.pieces[0])
	s.pieces[0] = s.pieces[0][n:]
	if len(s.pieces[0]) == 0 {
		s.pieces = s.pieces[1:]
	}
	return n, nil
}

// splitRandomly divides a text into pieces at random places.
func splitRandomly(t *rapid.T, text string) *pieceReader {
	source := &pieceReader{end: io.EOF}
	for len(text) > 0 {
		size := rapid.IntRange(1, len(text)).Draw(t, "piece")
		source.pieces = append(source.pieces, []byte(text[:size]))
		text = text[size:]
	}
	return source
}

// TestBodyIsIndependentOfReadSizes encodes a random body with a length or in
// chunks and delivers it in random pieces. The body must be read unchanged, and
// the next message on the connection must start right after it.
func TestBodyIsIndependentOfReadSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text, want strings.Builder
		framing := Framing{Kind: FramingChunked}
		for _, chunk := range rapid.SliceOf(rapid.StringMatching(`[a-z\r\n]{1,40}`)).Draw(t, "chunks") {
			want.WriteString(chunk)
			text.WriteString(strconv.FormatInt(int64(len(chunk)), 16) + rapid.SampledFrom([]string{"", ";a=b"}).Draw(t, "extension") + "\r\n" + chunk + "\r\n")
		}
		text.WriteString("0\r\n" + rapid.SampledFrom([]string{"", "X-A: b\r\n"}).Draw(t, "trailer") + "\r\n")
		if rapid.Bool().Draw(t, "counted") {
			framing = Framing{Kind: FramingLength, Length: int64(want.Len())}
			text.Reset()
			text.WriteString(want.String())
		}
		const next = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
		reader := NewReader(splitRandomly(t, text.String()+next))
		body, err := reader.Body(framing).ReadAll(1 << 20)
		if err != nil || string(body) != want.String() {
			t.Fatalf("got %q, %v; want %q", body, err, want.String())
		}
		head, err := reader.Head(1 << 10)
		if err != nil || head != next {
			t.Fatalf("the next message: %q, %v", head, err)
		}
	})
}

// TestTruncatedBodyIsAnError ends the connection at a random place before the
// end of the body, which must not be reported as complete.
func TestTruncatedBodyIsAnError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := "5\r\nhello\r\n3;x\r\nabc\r\n0\r\nX-A: b\r\n\r\n"
		framing := Framing{Kind: FramingChunked}
		if rapid.Bool().Draw(t, "counted") {
			whole, framing = "hello abc", Framing{Kind: FramingLength, Length: 9}
		}
		kept := whole[:rapid.IntRange(0, len(whole)-1).Draw(t, "kept")]
		_, err := NewReader(splitRandomly(t, kept)).Body(framing).ReadAll(1 << 10)
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("%q gave %v", kept, err)
		}
	})
}

// errTimeout is the error of a read whose deadline has passed.
var errTimeout = errors.New("timeout")

// TestBodyCanBeReadOnAfterADeadline lets a read deadline pass at each place of a
// chunked body and reads on: no byte may be lost or read twice.
func TestBodyCanBeReadOnAfterADeadline(t *testing.T) {
	const whole = "5\r\nhello\r\n3;x\r\nabc\r\n0\r\nX-A: b\r\n\r\n"
	for at := range len(whole) {
		source := &pieceReader{pieces: [][]byte{[]byte(whole[:at])}, end: errTimeout}
		if at == 0 {
			source.pieces = nil
		}
		body := NewReader(source).Body(Framing{Kind: FramingChunked})
		var got []byte
		for interrupted := false; ; {
			data, err := body.Next()
			got = append(got, data...)
			if errors.Is(err, errTimeout) && !interrupted {
				interrupted = true
				source.pieces = [][]byte{[]byte(whole[at:])}
				continue
			}
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatalf("interrupted at %d: %v", at, err)
			}
		}
		if string(got) != "helloabc" {
			t.Fatalf("interrupted at %d: %q", at, got)
		}
	}
}

func TestResetIsNotTheEndOfABodyWithoutLength(t *testing.T) {
	is := is.New(t)
	reset := errors.New("connection reset")
	_, err := NewReader(&pieceReader{pieces: [][]byte{[]byte("abc")}, end: reset}).Body(Framing{Kind: FramingClose}).ReadAll(10)
	is.True(errors.Is(err, reset))
	body, err := NewReader(&pieceReader{pieces: [][]byte{[]byte("abc")}, end: io.EOF}).Body(Framing{Kind: FramingClose}).ReadAll(10)
	is.NoErr(err)
	is.Equal(string(body), "abc")
}

func TestLimits(t *testing.T) {
	is := is.New(t)
	var problem *ProtocolError
	_, err := NewReader(strings.NewReader("GET / HTTP/1.1\r\nX: " + strings.Repeat("a", 5000) + "\r\n\r\n")).Head(4096)
	is.True(errors.As(err, &problem))
	is.Equal(problem.Status, 431)
	_, err = NewReader(strings.NewReader("abcdef")).Body(Framing{Kind: FramingLength, Length: 6}).ReadAll(5)
	is.True(errors.As(err, &problem))
	is.Equal(problem.Status, 413)
	_, err = NewReader(strings.NewReader("3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n")).Body(Framing{Kind: FramingChunked}).ReadAll(5)
	is.True(errors.As(err, &problem))
	is.Equal(problem.Status, 413)
}

// TestAmbiguousHeadIsRejected checks that a head which could be
// understood in two ways is refused.
func TestAmbiguousHeadIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.StringMatching(`(Content-Length|Transfer-Encoding|content-length|X-A|Host)[ \t]?:[ \t]?(chunked|gzip|[0-9+,-]{0,3})`)
		lines := rapid.SliceOfN(line, 0, 4).Draw(t, "lines")
		end := rapid.SampledFrom([]string{"\r\n", "\n", "\r"}).Draw(t, "end")
		text := "POST /x HTTP/1.1\r\nHost: h\r\n" + strings.Join(lines, end)
		if len(lines) > 0 {
			text += end
		}
		head, err := NewReader(strings.NewReader(text + "\r\n")).Head(1 << 12)
		if err != nil {
			return
		}
		request, err := ParseRequest(head)
		if err != nil {
			return
		}
		framings := 0
		for _, field := range request.Fields {
			if strings.EqualFold(field.Name, "Content-Length") || strings.EqualFold(field.Name, "Transfer-Encoding") {
				framings++
			}
		}
		if framings > 1 || strings.Count(head, "\n") != strings.Count(head, "\r\n") || len(request.Fields) != strings.Count(head, "\r\n")-2 {
			t.Fatalf("accepted %q as %+v", head, request)
		}
	})
}

func TestParseResponse(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		head   string
		method string
		kind   FramingKind
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "GET", FramingLength},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n", "GET", FramingChunked},
		{"HTTP/1.1 200\r\n\r\n", "GET", FramingClose},
		{"HTTP/1.1 204 No Content\r\n\r\n", "GET", FramingNone},
		{"HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n", "GET", FramingNone},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "HEAD", FramingNone},
	} {
		response, err := ParseResponse(test.head, test.method)
		is.NoErr(err)
		is.Equal(response.Framing.Kind, test.kind) // test.head
	}
	for _, head := range []string{"HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 20\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "garbage\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n"} {
		_, err := ParseResponse(head, "GET")
		is.True(err != nil) // head
	}
}

func TestIdleTimeout(t *testing.T) {
	is := is.New(t)
	const unknown = 7 * time.Second
	idle := func(fields string) time.Duration {
		response, err := ParseResponse("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+fields+"\r\n", "GET")
		is.NoErr(err)
		return response.IdleTimeout(unknown)
	}
	is.Equal(idle(""), unknown)
	is.Equal(idle("Keep-Alive: timeout=4\r\n"), 4*time.Second)
	is.Equal(idle("Keep-Alive: max=3, timeout=0\r\n"), 0*time.Second)
	is.Equal(idle("Connection: Keep-Alive, Close\r\n"), 0*time.Second)
}

func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("GET /x?y HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		reader := NewReader(bytes.NewReader(data))
		for {
			head, err := reader.Head(1 << 10)
			if err != nil {
				return
			}
			request, err := ParseRequest(head)
			if err != nil {
				return
			}
			if _, err := reader.Body(request.Framing).ReadAll(1 << 10); err != nil {
				return
			}
		}
	})
}
