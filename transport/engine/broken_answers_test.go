package engine

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/engineapi"
	"github.com/wisteriahaven/wisteriahaven/standin/brokenanswer"
)

// Guards against a broken answer that counts as the state of an engine, or as its consent to an order.
func TestBrokenAnswersToOrdersAreErrors(t *testing.T) {
	for name, answer := range brokenanswer.All("", `{}`, true) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, err := brokenanswer.NewServer(answer)
			is.NoErr(err)
			defer server.Close()
			client := NewClient()
			_, err = client.OrderState(context.Background(), server.Address())
			is.True(err != nil)
			_, err = client.Order(context.Background(), server.Address(), engineapi.Order{})
			is.True(err != nil)
		})
	}
}
