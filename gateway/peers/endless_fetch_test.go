package peers

import (
	"compress/gzip"
	"io"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp/fasthttputil"
)

// Guards against OUT OF MEMORY: what answers at a peer's address sends a body without end, or one that grows without end when
// it is unpacked.
func TestEndlessAnswersOfPeersAreBounded(t *testing.T) {
	const sent = 256 << 20
	junk := []byte(strings.Repeat("x", 1<<20))
	send := func(to io.Writer) {
		for range sent / len(junk) {
			if _, err := to.Write(junk); err != nil {
				return
			}
		}
	}
	for name, answer := range map[string]func(conn net.Conn){
		"without a length": func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
			send(conn)
		},
		"a long length": func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 268435456\r\n\r\n")
			send(conn)
		},
		"packed": func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n")
			packer := gzip.NewWriter(conn)
			send(packer)
			_ = packer.Close()
		},
		"a head": func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 ")
			send(conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener := fasthttputil.NewInmemoryListener()
			defer func() { _ = listener.Close() }()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					answer(conn)
					_ = conn.Close()
				}
			}()
			s := newService(netip.MustParseAddrPort("10.0.0.100:1"))
			s.client.Dial = func(string) (net.Conn, error) { return listener.Dial() }
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := s.get(addressOf(2), serversPath+"?after=0")
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			grown := after.TotalAlloc - before.TotalAlloc
			t.Logf("%d MB were allocated", grown>>20)
			is.True(grown < 64<<20)
		})
	}
}
