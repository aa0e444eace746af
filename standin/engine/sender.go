package engine

import (
	"bufio"
	"encoding/json"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
)

// sender writes the events of one connection.
type sender struct {
	engine *Engine
	source *stream
	writer *bufio.Writer
	boot   string
	offset int
	shift  int
}

// run sends tokens until the stream ends or the connection breaks.
func (s *sender) run() {
	reader := s.source.subscribe()
	defer s.source.unsubscribe(reader)
	for range reader {
		state := s.source.after(s.offset)
		if err := s.sendTokens(state.tokens); err != nil || state.ended {
			return
		}
		if state.done {
			s.sendEnd(state)
			return
		}
	}
}

func (s *sender) sendTokens(tokens []string) error {
	if len(tokens) == 0 {
		return nil
	}
	for _, token := range tokens {
		chunk := s.chunk()
		chunk.Choices = []engineapi.Choice{{Text: token}}
		if err := s.sendChunk(chunk); err != nil {
			return err
		}
		s.offset++
	}
	return s.writer.Flush()
}

func (s *sender) chunk() engineapi.Chunk {
	return engineapi.Chunk{
		ID:      s.source.id,
		Object:  "text_completion",
		Model:   s.source.answer.Model,
		Version: s.source.answer.Version,
		BootID:  s.boot,
		Seed:    s.source.request.Seed,
		Offset:  s.offset + s.shift,
	}
}

func (s *sender) sendChunk(chunk engineapi.Chunk) error {
	body, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return s.sendData(body)
}

func (s *sender) sendData(body []byte) error {
	for _, part := range [][]byte{[]byte("data: "), body, []byte("\n\n")} {
		if _, err := s.writer.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// sendEnd closes a complete stream.
func (s *sender) sendEnd(state snapshot) {
	if s.engine.takeBreakBeforeDone() {
		s.engine.CloseConnections()
		return
	}
	reason := "stop"
	chunk := s.chunk()
	chunk.Choices = []engineapi.Choice{{FinishReason: &reason}}
	chunk.Usage = &engineapi.Usage{CompletionTokens: state.total, Hash: state.hash, ComputedTokens: state.computed}
	if s.sendChunk(chunk) != nil {
		return
	}
	if s.sendData([]byte(engineapi.DoneMarker)) != nil {
		return
	}
	_ = s.writer.Flush()
}

// takeBreakBeforeDone reports whether this connection must break before
// [DONE], and counts it.
func (e *Engine) takeBreakBeforeDone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.BreakBeforeDone == 0 {
		return false
	}
	e.faults.BreakBeforeDone--
	return true
}
