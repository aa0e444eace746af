package engine

import (
	"io"
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/sse"
)

// Stream reads the events of one answer. Next belongs to one goroutine; Close
// may be called from any.
type Stream struct {
	exchange *sse.Exchange
	decoder  chunkDecoder
	bytes    int
}

// Header is what an engine states about a stream before its first token.
type Header struct {
	StreamID string
	BootID   string
	Version  string
	Seed     uint64
}

func newStream(exchange *sse.Exchange, sent int) *Stream {
	return &Stream{exchange: exchange, bytes: sent}
}

// Header returns the stream's header; ok is false when the engine sent none.
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

// TakeBytes returns the bytes sent and received since the last call.
func (s *Stream) TakeByteCount() int {
	taken := s.bytes
	s.bytes = 0
	return taken
}

// Next returns the next chunk; its Choices are valid until the next call. It returns io.EOF after [DONE], and
// EngineUnreachable when the connection ends before it.
func (s *Stream) Next() (engineapi.Chunk, error) {
	for {
		received, err := s.exchange.Next()
		s.bytes += len(received.Data)
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

// Close ends the connection.
func (s *Stream) Close() { s.exchange.Close() }
