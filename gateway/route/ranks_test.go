package route_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// Guards against an urgency for deployments whose ranks don't differ within a service.
func TestRanksOfAServiceAreThoseOfItsRoutesAndAccounts(t *testing.T) {
	is := is.New(t)
	at := func(rank int, service string) *route.Route {
		return &route.Route{Rank: rank, Split: []route.Share{{Service: service, Weight: 1}}}
	}
	routes := []*route.Route{at(1, "a"), at(1, "a"), at(2, "b"), at(0, "c"), at(2, "c")}
	plain := []*route.Account{{Name: "n", Keys: []string{"k"}}}
	table := route.NewTable(1, route.Limits{}, routes, nil, plain)
	is.True(!table.Ranks("a").Differ())
	is.True(!table.Ranks("b").Differ())
	is.True(table.Ranks("c").Differ())
	is.True(!table.Ranks("unknown").Differ())
	high := 0
	ranked := append(plain, &route.Account{Name: "m", Keys: []string{"l"}, Rank: &high})
	is.True(route.NewTable(1, route.Limits{}, routes, nil, ranked).Ranks("a").Differ())
	is.True(!route.NewTable(1, route.Limits{}, routes, nil, ranked[1:]).Ranks("c").Differ())
}
