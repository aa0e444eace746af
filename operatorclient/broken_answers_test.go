package operatorclient_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
	"github.com/wisteriahaven/wisteriahaven/operatorclient"
	"github.com/wisteriahaven/wisteriahaven/standin/brokenanswer"
)

// Guards against a broken answer that operators see as the state of an instance or the result of a command.
func TestBrokenAnswersOfInstancesAreErrors(t *testing.T) {
	for name, answer := range brokenanswer.All("", `{}`, true) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server, err := brokenanswer.NewServer(answer)
			is.NoErr(err)
			t.Cleanup(server.Close)
			client := operatorclient.New(server.Address(), "token")
			t.Cleanup(client.Close)
			_, err = client.Execute(context.Background(), operatorapi.Request{})
			is.True(fault.HasCode(err, fault.CommandOutcomeUnknown)) // it may have run
			_, err = client.Revision(context.Background())
			is.True(err != nil)
			_, err = client.Dump(context.Background(), 1)
			is.True(err != nil)
		})
	}
}
