package httplist

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/standin/brokenanswer"
)

// Guards against a broken answer that counts as a list without instances.
func TestBrokenAnswersAreErrors(t *testing.T) {
	for name, answer := range brokenanswer.All("", `{}`, true) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server, err := brokenanswer.NewServer(answer)
			is.NoErr(err)
			t.Cleanup(server.Close)
			client := New("http://" + server.Address())
			t.Cleanup(client.client.CloseIdleConnections)
			_, err = client.List(t.Context())
			is.True(fault.HasCode(err, fault.PlatformUnavailable))
		})
	}
}
