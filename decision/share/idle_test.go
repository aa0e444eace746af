package share_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/share"
)

// TestIdleInstanceKeepsAPart lets one instance want everything: the idle one
// keeps half its equal part, so that it serves the first request it gets.
func TestIdleInstanceKeepsAPart(t *testing.T) {
	is := is.New(t)
	names := []string{"busy", "idle"}
	demand := []int{1000, 0}
	books := make([]*share.Allocator, len(names))
	reports := make([]map[string][share.Kinds]share.Report, len(names))
	for i, name := range names {
		books[i] = share.NewAllocator(share.DefaultConfig(time.Second), name, "d", rand.New(rand.NewPCG(1, uint64(i))))
	}
	for second := 1; second <= 30; second++ {
		now := time.Duration(second) * time.Second
		for i := range names {
			other := 1 - i
			peers := []share.PeerReports{{Instance: names[other], DataCentre: "d", ReceivedAt: now, HasReport: reports[other] != nil, Accounts: reports[other]}}
			account := share.Account{Name: "a", Limits: share.Amounts{100}, Demand: share.Amounts{demand[i]}}
			stated := books[i].Step(now, []share.Account{account}, peers)
			reports[i] = map[string][share.Kinds]share.Report{"a": stated[0].Reports}
		}
	}
	is.Equal(books[1].Shares("a")[0], 25)
	is.Equal(books[0].Shares("a")[0], 75)
}
