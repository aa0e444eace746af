package httpstore

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
	"github.com/wisteriahaven/wisteriahaven/standin/brokenanswer"
)

// Guards against a broken answer that counts as an object, a list, a change or an acknowledged write.
func TestBrokenAnswersAreErrors(t *testing.T) {
	for name, answer := range brokenanswer.All("", `{}`, true) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server, err := brokenanswer.NewServer(answer)
			is.NoErr(err)
			t.Cleanup(server.Close)
			store := New("http://" + server.Address())
			t.Cleanup(store.client.CloseIdleConnections)
			_, err = store.Get(t.Context(), "key")
			is.True(fault.HasCode(err, fault.PlatformUnavailable))
			_, err = store.List(t.Context(), "prefix")
			is.True(fault.HasCode(err, fault.PlatformUnavailable))
			_, err = store.Watch(t.Context(), "prefix", 1)
			is.True(fault.HasCode(err, fault.PlatformUnavailable))
			_, err = store.Put(t.Context(), "key", []byte("value"), objectstore.Condition{})
			is.True(fault.HasCode(err, fault.PlatformAnswerLost)) // it may have been applied
		})
	}
}
