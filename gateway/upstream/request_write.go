package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"
)

// settleTime is how long the writing of a request may go on after the server has ended its answer by ending the
// connection. A server that has ended altogether resets what it still gets, within a round trip between regions.
const settleTime = 250 * time.Millisecond

// requestWrite is the writing of a request while its answer is read.
type requestWrite struct {
	conn net.Conn
	// done is closed when the writing has ended; err is its result from then on.
	done chan struct{}
	err  error
}

// startWrite begins to write buffers and calls written when all of them were written.
func startWrite(conn net.Conn, buffers net.Buffers, written func()) *requestWrite {
	w := &requestWrite{conn: conn, done: make(chan struct{})}
	go func() {
		_, w.err = buffers.WriteTo(conn)
		close(w.done)
		if w.err == nil {
			written()
		}
	}()
	return w
}

// succeeded reports whether the request was written completely.
func (w *requestWrite) succeeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// checkEnd returns an error if the server has reset the connection rather than ended it. The operating system reports
// a reset to one system call only: when the write gets it, the next read returns the same as at an orderly end. A
// write that is still blocked after settleTime has met no reset; it is ended, as the connection has no further use.
func (w *requestWrite) checkEnd() error {
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.failure()
	case <-timer.C:
	}
	if err := w.conn.SetWriteDeadline(time.Now()); err != nil {
		return err
	}
	<-w.done
	if errors.Is(w.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return w.failure()
}

// failure returns the error of an answer that ends with its connection after the request could not be written, nil
// when it was written.
func (w *requestWrite) failure() error {
	if w.err == nil {
		return nil
	}
	return fmt.Errorf("%w: write the request: %w", io.ErrUnexpectedEOF, w.err)
}
