package forward

import (
	"bytes"
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Errors of event streams.
var (
	errEventMissing = fault.New(fault.UpstreamBroken, "an event of the stream is missing")
	errPartialEvent = fault.New(fault.UpstreamBroken, "the stream ends within an event")
	errEventTooLong = fault.New(fault.UpstreamBroken, "an event is too long")
)

// maxEvent bounds one event in bytes.
const maxEvent = 1 << 20

// eventReader cuts a stream into whole events and drops those that the client
// already has.
type eventReader struct {
	// position is the id of the last event that was passed on.
	position uint64
	// checked is set when the next event's id is known.
	checked bool
	partial []byte
}

// restart begins to read another stream that goes on at the same position.
func (r *eventReader) restart() { r.partial = r.partial[:0] }

// take adds bytes of the stream and returns the whole events that the client
// needs, valid until the next call, and how many they are.
func (r *eventReader) take(data, into []byte) (events []byte, count int, err error) {
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
	if len(rest) > maxEvent {
		return events, count, errEventTooLong
	}
	r.partial = append(r.partial[:0], rest...)
	return events, count, nil
}

// accept reports whether the client needs an event.
func (r *eventReader) accept(event []byte) (bool, error) {
	id, found := eventID(event)
	if !found {
		return true, nil
	}
	if r.checked {
		if id <= r.position {
			return false, nil
		}
		if id != r.position+1 {
			return false, errEventMissing
		}
	}
	r.position, r.checked = id, true
	return true, nil
}

// complete returns an error when the stream ended within an event.
func (r *eventReader) complete() error {
	if len(bytes.TrimSpace(r.partial)) > 0 {
		return errPartialEvent
	}
	return nil
}

// eventSize returns the size of the first whole event, 0 when there is none.
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

// eventID returns the number of an event.
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
