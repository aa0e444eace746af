package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/standin/brokenanswer"
)

// Guards against a broken answer that counts as the load report of a server.
func TestBrokenAnswersAreNoLoadReports(t *testing.T) {
	for name, answer := range brokenanswer.All("", `{"running":1}`, true) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server, err := brokenanswer.NewServer(answer)
			is.NoErr(err)
			t.Cleanup(server.Close)
			poller := NewPoller(nil, time.Second, zerolog.Nop())
			t.Cleanup(poller.client.CloseIdleConnections)
			_, ok := poller.fetchReport(server.Address())
			is.True(!ok)
		})
	}
}
