package engine

import (
	"encoding/json"
	"io"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/sse"
)

// Stream reads the events of one answer. Next belongs to one goroutine; Close
// may be called from any.
type Stream struct {
	exchange *sse.Exchange
}

// Next returns the next chunk. It returns io.EOF after [DONE], and
// EngineUnreachable when the connection ends before it.
func (s *Stream) Next() (engineapi.Chunk, error) {
	for {
		received, err := s.exchange.Next()
		switch {
		case err != nil:
			return engineapi.Chunk{}, fault.Wrap(fault.EngineUnreachable, domain, "read event", err)
		case received.Comment:
			continue
		case string(received.Data) == engineapi.DoneMarker:
			return engineapi.Chunk{}, io.EOF
		default:
			return decodeChunk(received.Data)
		}
	}
}

func decodeChunk(data []byte) (engineapi.Chunk, error) {
	var chunk engineapi.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return chunk, fault.Wrap(fault.EngineProtocol, domain, "decode event", err)
	}
	if len(chunk.Choices) != 1 {
		return chunk, fault.New(fault.EngineProtocol, "event without exactly one choice")
	}
	return chunk, nil
}

// Close ends the connection.
func (s *Stream) Close() { s.exchange.Close() }
