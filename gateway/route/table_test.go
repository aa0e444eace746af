package route_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// Guards against ROUTE: a service without a weight gets requests.
func TestServicesWithoutAWeightGetNoRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &route.Route{}
		for n, weight := range rapid.SliceOfN(rapid.IntRange(-2, 3), 0, 5).Draw(t, "weights") {
			r.Split = append(r.Split, route.Share{Service: string(rune('a' + n)), Weight: weight})
		}
		draw := rapid.OneOf(rapid.Float64Range(0, 0.999), rapid.Just(0.9999999999999999)).Draw(t, "draw")
		chosen := r.ChooseService(draw)
		if chosen != "" && !r.Offers(chosen) {
			t.Fatalf("%v: chose %q, which has no weight", r.Split, chosen)
		}
		for _, share := range r.Split {
			if chosen == "" && share.Weight > 0 {
				t.Fatalf("%v: chose none", r.Split)
			}
		}
	})
}

// Guards against routes and services without a name, a host or a prefix that match what names none.
func TestEmptyNamesMatchNothing(t *testing.T) {
	is := is.New(t)
	anonymous := route.Route{Name: "r", Host: "h", PathPrefix: "/", Anonymous: true, Split: []route.Share{{Service: "", Weight: 1}}}
	noPrefix, noHost := anonymous, anonymous
	noPrefix.PathPrefix, noHost.Host = "", ""
	table := route.NewTable(1, route.Limits{}, []*route.Route{&noPrefix, &noHost}, []*route.Service{{}}, nil)
	is.True(table.Match("h", "/x") == nil)
	is.True(table.Match("", "/x") == nil)
	is.True(table.Service("") == nil)
}

// Guards against requests without a key of an account where keys are required.
func TestRequiredKeysAreThoseOfAccounts(t *testing.T) {
	plain, anonymous := &route.Route{}, &route.Route{Anonymous: true}
	open := route.NewTable(1, route.Limits{}, nil, nil, nil)
	for name, c := range map[string]struct {
		table *route.Table
		// allowed are the keys that a plain route allows, of those asked for.
		allowed []string
	}{
		"no accounts":          {open, []string{"", "k", "other"}},
		"required, no account": {open.RequiringKeys(), nil},
		"no key":               {route.NewTable(1, route.Limits{}, nil, nil, []*route.Account{{Name: "a"}}), nil},
		"empty key":            {route.NewTable(1, route.Limits{}, nil, nil, []*route.Account{{Name: "a", Keys: []string{""}}}), nil},
		"key":                  {route.NewTable(1, route.Limits{}, nil, nil, []*route.Account{{Name: "a", Keys: []string{"k"}}, {Name: "b"}}), []string{"k"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var allowed []string
			for _, key := range []string{"", "k", "other"} {
				account, ok := c.table.Authorize(plain, key)
				is.True(account == nil || key == "k")
				if ok {
					allowed = append(allowed, key)
				}
				_, ok = c.table.Authorize(anonymous, key)
				is.True(ok)
			}
			is.Equal(allowed, c.allowed)
		})
	}
	is.New(t).True(!open.KeysRequired()) // RequiringKeys leaves the table as it is
}

// Guards against ORDER: a change by which streams go to another service is overlooked, as it concerns another prefix.
func TestMovedStreamsAreFound(t *testing.T) {
	stream := func(prefix string, services ...string) *route.Route {
		r := &route.Route{Host: "H", PathPrefix: prefix, Kind: route.Stream, Resumable: true}
		for _, service := range services {
			r.Split = append(r.Split, route.Share{Service: service, Weight: 1})
		}
		return r
	}
	for name, c := range map[string]struct {
		before, after []*route.Route
		moved         int
	}{
		"nothing changes":              {[]*route.Route{stream("/", "a", "b")}, []*route.Route{stream("/", "b", "a")}, 0},
		"another service":              {[]*route.Route{stream("/", "a")}, []*route.Route{stream("/", "b")}, 1},
		"a service more":               {[]*route.Route{stream("/", "a")}, []*route.Route{stream("/", "a", "b")}, 1},
		"a longer prefix is added":     {[]*route.Route{stream("/", "a")}, []*route.Route{stream("/", "a"), stream("/x/", "b")}, 1},
		"a longer prefix is removed":   {[]*route.Route{stream("/", "a"), stream("/x/", "b")}, []*route.Route{stream("/", "a")}, 1},
		"a new prefix":                 {[]*route.Route{stream("/x/", "a")}, []*route.Route{stream("/x/", "a"), stream("/y/", "b")}, 0},
		"the same service by a prefix": {[]*route.Route{stream("/", "a")}, []*route.Route{stream("/", "a"), stream("/x/", "a")}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := route.NewTable(1, route.Limits{}, c.before, nil, nil), route.NewTable(2, route.Limits{}, c.after, nil, nil)
			is.New(t).Equal(len(after.MovedStreams(before)), c.moved)
		})
	}
}
