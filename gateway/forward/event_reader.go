package forward

import (
	"bytes"
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Errors of event streams.
var (
	errEventMissing = fault.New(fault.UpstreamBroken, "an event is missing from the stream")
	errPartialEvent = fault.New(fault.UpstreamBroken, "the stream ends within an event")
	errEventTooLong = fault.New(fault.UpstreamBroken, "an event is too long")
	errRepeated     = fault.New(fault.UpstreamBroken, "the stream repeats too many events")
	errNoIDs        = fault.New(fault.UpstreamBroken, "the stream goes on with events without an id only")
)

const (
	// maxEventBytes bounds one event in bytes, with the comments and events without an id before it.
	maxEventBytes = 64 << 10
	// maxRepeatedBytes bounds the events in bytes that the client has and that a server sends before
	// the next new one.
	maxRepeatedBytes = 1 << 20
)

// eventReader splits a stream into events and drops those that the client has. Comments and events
// without an id are no progress of the stream: they are kept back until the next event with an id.
type eventReader struct {
	// position is the id of the last event that was forwarded.
	position uint64
	// positionKnown is set once position is known, so that the next event's id
	// can be checked against it.
	positionKnown bool
	// partial holds the bytes after the last event with an id. Its first held bytes are comments and
	// events without an id; no event ends in its first searched bytes after those.
	partial        []byte
	held, searched int
	// continuing is set while a server goes on with a stream of which the client has a part; identified once that server
	// has sent an event with an id. What it sends before that is no part of the stream.
	continuing, identified bool
	// repeated is the size in bytes of the events that were dropped since the last new one.
	repeated int
}

// restart drops a partial event before another attempt's stream is read; continuing says that the client has a part of
// the stream.
func (r *eventReader) restart(continuing bool) {
	r.continuing, r.identified = continuing, false
	r.partial, r.held, r.searched, r.repeated = r.partial[:0], 0, 0, 0
}

// push adds bytes of the stream and returns the complete events that the client
// still needs, and their number. The events are stored in into and are valid
// until the next call that uses it.
func (r *eventReader) push(data, into []byte) (events []byte, count int, err error) {
	r.partial = append(r.partial, data...)
	events = into[:0]
	start, block, searched := 0, r.held, r.searched
	for {
		size := eventSize(r.partial[block:], searched-block)
		if size == 0 {
			break
		}
		begin := block
		block += size
		searched = block
		id, found := eventID(r.partial[begin:block])
		if !found {
			continue
		}
		if r.continuing && !r.identified {
			start = begin
		}
		r.identified = true
		wanted, err := r.accept(id)
		if err != nil {
			return events, count, err
		}
		if wanted {
			events = append(events, r.partial[start:block]...)
			count++
			r.repeated = 0
		} else {
			r.repeated += block - start
		}
		start = block
	}
	r.partial = append(r.partial[:0], r.partial[start:]...)
	r.held = block - start
	// The line ends of an event's last line and of the empty line after it may arrive separately.
	r.searched = max(r.held, len(r.partial)-len("\n\r"))
	if len(r.partial) > maxEventBytes {
		return events, count, errEventTooLong
	}
	if r.repeated > maxRepeatedBytes {
		return events, count, errRepeated
	}
	return events, count, nil
}

// accept reports whether the client still needs the event with an id, and advances the
// position past it. It returns errEventMissing when ids are skipped.
func (r *eventReader) accept(id uint64) (bool, error) {
	if r.positionKnown {
		if id <= r.position {
			return false, nil
		}
		if id != r.position+1 {
			return false, errEventMissing
		}
	}
	r.position, r.positionKnown = id, true
	return true, nil
}

// complete returns an error when the stream ended within an event, or when the server that was to go on with it sent
// other events only.
func (r *eventReader) complete() error {
	if r.continuing && !r.identified && !onlyComments(r.partial[:r.held]) {
		return errNoIDs
	}
	if len(bytes.TrimSpace(r.partial[r.held:])) > 0 {
		return errPartialEvent
	}
	return nil
}

// rest returns the comments and events without an id at the end of a complete stream.
func (r *eventReader) rest() []byte {
	if r.continuing && !r.identified {
		return nil
	}
	return r.partial[:r.held]
}

// onlyComments reports whether all lines are empty or comments.
func onlyComments(data []byte) bool {
	for line := range bytes.Lines(data) {
		if text := bytes.TrimSpace(line); len(text) > 0 && text[0] != ':' {
			return false
		}
	}
	return true
}

// eventSize returns the size of the first complete event in bytes, 0 for none. No line that starts
// before the offset from ends an event.
func eventSize(data []byte, from int) int {
	for start := max(0, from); ; {
		index := bytes.IndexByte(data[start:], '\n')
		if index < 0 {
			return 0
		}
		end := start + index + 1
		rest := data[end:]
		if len(rest) > 0 && rest[0] == '\n' {
			return end + 1
		}
		if len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n' {
			return end + 2
		}
		start = end
	}
}

// eventID returns the id of an event, false when it has no valid one.
func eventID(event []byte) (uint64, bool) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
