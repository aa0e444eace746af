package upstream

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestExpiredDeadlineIsNotServerFailure guards against attributing a failure to a
// working server when the caller's deadline passes before the connection opens.
func TestExpiredDeadlineIsNotServerFailure(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Millisecond))
	defer cancel()
	_, err = NewPool().Open(ctx, "server", listener.Addr().String(), time.Second, false)
	is.True(errors.Is(err, ErrNoTime))
}

func TestRefusedConnectionIsServerFailure(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err = NewPool().Open(ctx, "server", address, time.Second, false)
	is.True(err != nil)
	is.True(!errors.Is(err, ErrNoTime))
}
