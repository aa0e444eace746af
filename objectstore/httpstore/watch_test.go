package httpstore

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// changeBound is the time in which a change of the configuration has to be in force.
const changeBound = 3 * time.Second

// silentListener accepts connections and answers nothing.
func silentListener(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	return listener
}

// Guards against watches that wait for an answer which the platform lost.
func TestWatchWithoutAnswerEndsBeforeAChangeIsLate(t *testing.T) {
	is := is.New(t)
	store, begun := New("http://"+silentListener(t).Addr().String()), time.Now()
	_, err := store.Watch(t.Context(), "config/head", 1)
	is.True(fault.HasCode(err, fault.PlatformUnavailable))
	is.True(time.Since(begun) < changeBound)
}
