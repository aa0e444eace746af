package peers

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against waiting requests that a digest loses, and against absurd ones that count.
func TestDigestCarriesWaitingRequests(t *testing.T) {
	is := is.New(t)
	sent := Digest{Instance: "i", Waiting: []ServiceWaiting{{Service: "a", Requests: 3, Rank: 1}, {Service: "b"}, {Requests: 2}, {Service: "c", Requests: 1 << 40, Rank: 1 << 40}}}
	got, err := Decode(Encode(&sent))
	is.NoErr(err)
	is.Equal(got.Waiting, []ServiceWaiting{{Service: "a", Requests: 3, Rank: 1}, {Service: "c", Requests: maxNumber, Rank: maxWaitingRank}})
}
