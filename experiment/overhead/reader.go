package overhead

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/sse"
)

// textPrefix precedes a token's text in the events of both paths.
var textPrefix = []byte(`"text":"`)

// readAnswer requests one answer and calls onToken, unless it is nil, with the delay of each
// token. It returns the number of tokens received.
func readAnswer(ctx context.Context, address, prompt string, tokens int, started time.Time, onToken func(time.Duration)) (int, error) {
	body, err := json.Marshal(engineapi.CompletionRequest{Model: modelName, Prompt: prompt, MaxTokens: tokens, Stream: true})
	if err != nil {
		return 0, fault.Wrap(fault.Internal, "experiment/overhead", "encode request", err)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/v1/completions")
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+bearer)
	request.Header.SetContentType("application/json")
	request.SetBody(body)
	exchange, _, err := sse.Post(ctx, &net.Dialer{}, address, request)
	if err != nil {
		return 0, err
	}
	defer exchange.Close()
	if exchange.Status() != fasthttp.StatusOK {
		return 0, fault.New(fault.EngineProtocol, "status "+strconv.Itoa(exchange.Status()))
	}
	return readTokens(exchange, started, onToken)
}

func readTokens(exchange *sse.Exchange, started time.Time, onToken func(time.Duration)) (int, error) {
	count := 0
	for {
		received, err := exchange.Next()
		if err != nil {
			return count, err
		}
		if string(received.Data) == engineapi.DoneMarker {
			return count, nil
		}
		sent, ok := parseSendTime(received.Data)
		if !ok {
			continue
		}
		count++
		if onToken != nil {
			onToken(time.Since(started) - sent)
		}
	}
}

// parseSendTime returns the send time in an event's token text, and false when the event holds
// none.
func parseSendTime(data []byte) (time.Duration, bool) {
	at := bytes.Index(data, textPrefix)
	if at < 0 {
		return 0, false
	}
	text := data[at+len(textPrefix):]
	end := bytes.IndexByte(text, '"')
	sent, err := strconv.ParseInt(string(text[:max(end, 0)]), 10, 64)
	return time.Duration(sent), err == nil
}
