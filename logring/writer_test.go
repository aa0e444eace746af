package logring

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against OUT OF MEMORY: long lines, such as those that quote an answer, wait for a slow output.
func TestWaitingLinesAreBoundedInBytes(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	w := New(&output)
	line := append(bytes.Repeat([]byte("x"), 128<<10), '\n')
	for range linesPerSecond / 2 {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	waiting := 0
	for len(w.lines.Items()) > 0 {
		waiting += len(w.taken(<-w.lines.Items()))
	}
	is.True(waiting > 0)
	is.True(waiting <= maxWaitingBytes)
	is.Equal(w.Dropped(), int64(linesPerSecond/2-waiting/len(line)))
	ctx, cancel := context.WithTimeout(context.Background(), 3*flushDelay)
	defer cancel()
	time.Sleep(time.Second) // the next lines count for another second
	_, err := w.Write([]byte("later\n"))
	is.NoErr(err)
	w.Run(ctx)
	is.Equal(output.String(), "later\n") // room is there again
}
