// Package logring writes log lines through a bounded ring, so that a slow
// output never blocks the goroutine that logs. Lines that exceed the bounds are
// dropped and counted.
package logring

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/wisteriahaven/wisteriahaven/ring"
)

const (
	// maxWaitingLines is the maximum number of lines that wait for the output.
	maxWaitingLines = 2048
	// maxWaitingBytes bounds the size in bytes of the lines that wait: a line may quote what others have sent.
	maxWaitingBytes = 2 << 20
	// flushDelay is the time for which lines are collected for one write.
	flushDelay = 50 * time.Millisecond
	// batchBytes is the size from which a write takes no further line.
	batchBytes = 64 << 10
	// linesPerSecond is the maximum rate of lines: an instance in normal operation
	// logs some 30 lines a second, and a line costs about 300 bytes and its write.
	linesPerSecond = 400
)

// Writer is an io.Writer whose writes never block. Lines over linesPerSecond,
// maxWaitingLines or maxWaitingBytes are dropped and counted.
type Writer struct {
	lines           *ring.Ring[[]byte]
	waitingBytes    atomic.Int64
	output          io.Writer
	currentSecond   atomic.Int64
	linesThisSecond atomic.Int64
	dropped         atomic.Int64
}

// New returns a writer to an output. Run must be called for lines to appear.
func New(output io.Writer) *Writer {
	return &Writer{lines: ring.New[[]byte]("log", maxWaitingLines), output: output}
}

// Write queues one line, or drops it over a bound. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if second := time.Now().Unix(); w.currentSecond.Swap(second) != second {
		w.linesThisSecond.Store(0)
	}
	if w.linesThisSecond.Add(1) > linesPerSecond || !w.offer(line) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// offer queues a copy of a line, and reports whether there was room.
func (w *Writer) offer(line []byte) bool {
	size := int64(len(line))
	if w.waitingBytes.Add(size) <= maxWaitingBytes && w.lines.Offer(bytes.Clone(line)) {
		return true
	}
	w.waitingBytes.Add(-size)
	return false
}

// taken records that a line no longer waits, and returns it.
func (w *Writer) taken(line []byte) []byte {
	w.waitingBytes.Add(-int64(len(line)))
	return line
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until the context ends, and then one batch of those left.
func (w *Writer) Run(ctx context.Context) {
	var batch []byte
	for {
		select {
		case <-ctx.Done():
			w.write(w.fillBatch(batch[:0]))
			return
		case line := <-w.lines.Items():
			batch = append(batch[:0], w.taken(line)...)
			time.Sleep(flushDelay)
			batch = w.fillBatch(batch)
			w.write(batch)
		}
	}
}

// fillBatch appends the waiting lines to a batch until it has batchBytes.
func (w *Writer) fillBatch(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-w.lines.Items():
			batch = append(batch, w.taken(line)...)
		default:
			return batch
		}
	}
	return batch
}

// write writes a batch. If the output fails, it counts the lines as dropped:
// there is nowhere else to report the error.
func (w *Writer) write(batch []byte) {
	if len(batch) == 0 {
		return
	}
	if _, err := w.output.Write(batch); err != nil {
		w.dropped.Add(int64(bytes.Count(batch, []byte("\n"))))
	}
}
