package overflow_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/overflow"
)

func TestOrderKeepsRulesRegionAndHops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		chooser := overflow.NewChooser("d0", "r0", rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		allowed := rapid.SliceOfN(rapid.Bool(), 4, 4).Draw(t, "allowed")
		now := time.Duration(0)
		until := map[string]time.Duration{}
		var peers []overflow.Peer
		for i := range rapid.IntRange(0, 8).Draw(t, "peers") {
			place := rapid.IntRange(0, 3).Draw(t, "place")
			peers = append(peers, overflow.Peer{Instance: fmt.Sprint(i), DataCentre: fmt.Sprint("d", place), Region: fmt.Sprint("r", place/2)})
		}
		isAllowed := func(dataCentre, _ string) bool { return allowed[dataCentre[1]-'0'] }
		for range 20 {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * time.Second
			hops := rapid.IntRange(0, 2).Draw(t, "hops")
			order := chooser.Order(now, hops, peers, isAllowed)
			is.True(hops == 0 || len(order) == 0) // one hop only
			expected := 0
			for _, peer := range peers {
				if hops == 0 && peer.DataCentre != "d0" && isAllowed(peer.DataCentre, "") && now >= until[peer.Instance] {
					expected++
				}
			}
			is.Equal(len(order), expected)
			far := false
			for _, peer := range order {
				is.True(peer.DataCentre != "d0")
				is.True(isAllowed(peer.DataCentre, peer.Region)) // a rule allows it
				is.True(now >= until[peer.Instance])
				is.True(!far || peer.Region != "r0") // the own region comes first
				far = far || peer.Region != "r0"
			}
			if len(order) > 0 {
				chooser.Refused(now, order[0].Instance, 2*time.Second)
				until[order[0].Instance] = now + 2*time.Second
			}
		}
	})
}
