package overflow

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/transport/sse"
)

// countedBody reads an answer and counts its bytes.
type countedBody struct {
	exchange *sse.Exchange
	// count is nil for an answer from the local region.
	count  func(bytes int)
	cancel context.CancelFunc
}

// Read implements io.Reader.
func (b *countedBody) Read(buffer []byte) (int, error) {
	read, err := b.exchange.Read(buffer)
	if b.count != nil {
		b.count(read)
	}
	return read, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	b.exchange.Close()
	b.cancel()
	return nil
}
