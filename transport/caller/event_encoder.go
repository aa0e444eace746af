package caller

import (
	"encoding/json"
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

func encodeErrorEvent(requestID string, failure *fault.Error) []byte {
	event := append([]byte("event: error\ndata: "), encodeError(requestID, failure)...)
	return append(event, '\n', '\n')
}

// eventEncoder encodes server-sent events; each is valid until the next call.
type eventEncoder struct {
	requestID string
	model     string
	version   string
	seed      uint64
	prefix    []byte
	buffer    []byte
}

func newEventEncoder(requestID string) *eventEncoder {
	return &eventEncoder{requestID: requestID}
}

// setSharedFields sets the fields that all events of an answer have in common.
func (e *eventEncoder) setSharedFields(model, version string, seed uint64) {
	if e.prefix != nil && model == e.model && version == e.version && seed == e.seed {
		return
	}
	e.model, e.version, e.seed = model, version, seed
	prefix := append([]byte(nil), `data: {"id":`...)
	prefix = appendString(prefix, "cmpl-"+e.requestID)
	prefix = append(prefix, `,"object":"text_completion","model":`...)
	prefix = appendString(prefix, model)
	prefix = append(prefix, `,"version":`...)
	prefix = appendString(prefix, version)
	prefix = append(prefix, `,"seed":`...)
	prefix = strconv.AppendUint(prefix, seed, 10)
	e.prefix = prefix
}

func (e *eventEncoder) encode(next frame) []byte {
	switch next.kind {
	case frameRestart:
		return []byte("event: restart\ndata: {}\n\n")
	case frameKeepAlive:
		return []byte(": keep-alive\n\n")
	default:
		return e.encodeToken(next.token)
	}
}

func (e *eventEncoder) encodeToken(token serving.Token) []byte {
	event := append(e.buffer[:0], "id: "...)
	event = append(event, token.Cursor...)
	event = append(event, '\n')
	event = append(event, e.prefix...)
	event = append(event, `,"offset":`...)
	event = strconv.AppendInt(event, int64(token.Offset), 10)
	event = append(event, `,"choices":[{"index":0,"text":`...)
	event = appendString(event, token.Text)
	event = append(event, `,"finish_reason":null}]}`...)
	event = append(event, '\n', '\n')
	e.buffer = event
	return event
}

func (e *eventEncoder) encodeEnd(end serving.AnswerEnd) []byte {
	event := append(e.buffer[:0], e.prefix...)
	event = append(event, `,"choices":[{"index":0,"text":"","finish_reason":"stop"}],"usage":{"completion_tokens":`...)
	event = strconv.AppendInt(event, int64(end.Tokens), 10)
	event = append(event, `,"hash":`...)
	event = strconv.AppendUint(event, uint64(end.Hash), 10)
	event = append(event, "}}\n\ndata: "...)
	event = append(event, engineapi.DoneMarker...)
	event = append(event, '\n', '\n')
	e.buffer = event
	return event
}

// appendString appends the text as a JSON string.
func appendString(buffer []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			quoted, err := json.Marshal(text)
			if err != nil {
				return append(buffer, '"', '"')
			}
			return append(buffer, quoted...)
		}
	}
	buffer = append(buffer, '"')
	buffer = append(buffer, text...)
	return append(buffer, '"')
}
