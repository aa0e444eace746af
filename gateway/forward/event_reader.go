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
)

// maxEventBytes bounds one event in bytes.
const maxEventBytes = 1 << 20

// eventReader splits a stream into events and drops those that the client has.
type eventReader struct {
	// position is the id of the last event that was forwarded.
	position uint64
	// positionKnown is set once position is known, so that the next event's id
	// can be checked against it.
	positionKnown bool
	partial       []byte
}

// restart drops a partial event before another attempt's stream is read.
func (r *eventReader) restart() { r.partial = r.partial[:0] }

// push adds bytes of the stream and returns the complete events that the client
// still needs, and their number. The events are stored in into and are valid
// until the next call that uses it.
func (r *eventReader) push(data, into []byte) (events []byte, count int, err error) {
	r.partial = append(r.partial, data...)
	rest := r.partial
	events = into[:0]
	for {
		size := eventSize(rest)
		if size == 0 {
			break
		}
		wanted, err := r.accept(rest[:size])
		if err != nil {
			return events, count, err
		}
		if wanted {
			events = append(events, rest[:size]...)
			count++
		}
		rest = rest[size:]
	}
	if len(rest) > maxEventBytes {
		return events, count, errEventTooLong
	}
	r.partial = append(r.partial[:0], rest...)
	return events, count, nil
}

// accept reports whether the client still needs an event, and advances the
// position past it. It returns errEventMissing when ids are skipped.
func (r *eventReader) accept(event []byte) (bool, error) {
	id, found := eventID(event)
	if !found {
		return true, nil
	}
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

// complete returns an error when the stream ended within an event.
func (r *eventReader) complete() error {
	if len(bytes.TrimSpace(r.partial)) > 0 {
		return errPartialEvent
	}
	return nil
}

// eventSize returns the size of the first complete event in bytes, 0 for none.
func eventSize(data []byte) int {
	for start := 0; ; {
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
