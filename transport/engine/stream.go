package engine

import (
	"io"
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/sse"
)

// Stream reads the events of one answer. Only one goroutine may call Next; Close
// may be called from any.
type Stream struct {
	exchange  *sse.Exchange
	decoder   chunkDecoder
	byteCount int
}

// Header holds the properties of a stream that an engine sends before the first token.
type Header struct {
	StreamID string
	BootID   string
	Version  string
	Seed     uint64
}

func newStream(exchange *sse.Exchange, sent int) *Stream {
	return &Stream{exchange: exchange, byteCount: sent}
}

// Header returns the stream's header; ok is false if the engine did not send a complete one.
func (s *Stream) Header() (header Header, ok bool) {
	seed, err := strconv.ParseUint(s.exchange.Header(engineapi.SeedHeader), 10, 64)
	if err != nil {
		return Header{}, false
	}
	header = Header{
		StreamID: s.exchange.Header(engineapi.StreamIDHeader),
		BootID:   s.exchange.Header(engineapi.BootIDHeader),
		Version:  s.exchange.Header(engineapi.VersionHeader),
		Seed:     seed,
	}
	return header, header.StreamID != "" && header.BootID != "" && header.Version != ""
}

// TakeByteCount returns the number of request body and event data bytes since the last call.
func (s *Stream) TakeByteCount() int {
	count := s.byteCount
	s.byteCount = 0
	return count
}

// Next returns the next chunk, whose Choices are valid until the next call. It
// returns io.EOF after [DONE], EngineUnreachable if the connection ends before
// it, and EngineProtocol for an event that is not a chunk.
func (s *Stream) Next() (engineapi.Chunk, error) {
	for {
		received, err := s.exchange.Next()
		s.byteCount += len(received.Data)
		switch {
		case err != nil:
			return engineapi.Chunk{}, fault.Wrap(fault.EngineUnreachable, domain, "read event", err)
		case received.Comment:
			continue
		case string(received.Data) == engineapi.DoneMarker:
			return engineapi.Chunk{}, io.EOF
		default:
			return s.decoder.decode(received.Data)
		}
	}
}

// Close closes the connection.
func (s *Stream) Close() { s.exchange.Close() }
