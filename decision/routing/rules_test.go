package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/decision/routing"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// names draws a rule's list over the given names: empty, any or some.
func names(t *rapid.T, label string, all ...string) []string {
	if rapid.IntRange(0, 4).Draw(t, label+" any") > 0 {
		return rapid.SampledFrom([][]string{nil, {estate.Any}}).Draw(t, label)
	}
	return rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, len(all), rapid.ID[string]).Draw(t, label)
}

func drawConfiguration(t *rapid.T) *estate.Configuration {
	configuration := &estate.Configuration{
		Regions:     []estate.Region{{Name: "r1"}, {Name: "r2"}},
		DataCentres: []estate.DataCentre{{Name: "d1", Region: "r1"}, {Name: "d2", Region: "r1"}, {Name: "d3", Region: "r2"}},
		Services:    []estate.Service{{Name: "s1"}, {Name: "s2"}},
		Models:      []estate.Model{{Name: "m1", Versions: []string{"1", "2"}, DefaultVersion: "1"}},
		Shifts:      []estate.Shift{{Model: "m1", From: "r1", To: "r2", Percent: rapid.IntRange(0, 100).Draw(t, "shift")}},
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "rules") {
		configuration.Rules = append(configuration.Rules, estate.Rule{
			Name:           fmt.Sprint("rule-", i),
			Firms:          names(t, "firms", "f1", "f2"),
			ClientAccounts: names(t, "accounts", "a1", "a2"),
			Services:       names(t, "services", "s1", "s2"),
			Models:         names(t, "models", "m1"),
			Versions:       names(t, "versions", "1", "2"),
			Regions:        names(t, "regions", "r1", "r2"),
			DataCentres:    names(t, "data centres", "d1", "d2", "d3"),
		})
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "servers") {
		configuration.BackendServers = append(configuration.BackendServers, estate.BackendServer{
			Name:       fmt.Sprint("server-", i),
			DataCentre: rapid.SampledFrom([]string{"d1", "d2", "d3"}).Draw(t, "data centre"),
			Service:    rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "service"),
			Model:      "m1",
			Version:    rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"),
			Slots:      4,
		})
		last := &configuration.BackendServers[i]
		if last.Spare = rapid.IntRange(0, 4).Draw(t, "spare") == 0; last.Spare {
			last.Model, last.Version = "", ""
		}
	}
	return configuration
}

// ruleAllows is the oracle: it reads one rule as the operators' page states
// it, for one server.
func ruleAllows(rule estate.Rule, request serving.RouteRequest, server estate.BackendServer) bool {
	region := map[string]string{"d1": "r1", "d2": "r1", "d3": "r2"}[server.DataCentre]
	has := func(list []string, value string) bool {
		return len(list) == 0 || slices.Contains(list, "*") || slices.Contains(list, value)
	}
	return has(rule.Firms, request.Firm) && has(rule.ClientAccounts, request.ClientAccount) &&
		has(rule.Services, server.Service) && has(rule.Models, request.Model) &&
		has(rule.Versions, neededVersion(request)) && has(rule.Regions, region) && has(rule.DataCentres, server.DataCentre)
}

func neededVersion(request serving.RouteRequest) string {
	if request.Version == "" {
		return "1"
	}
	return request.Version
}

// hasLoaded reports whether the server has the model, as far as it said so.
func hasLoaded(server estate.BackendServer, state snapshot.State, version string) bool {
	if !state.Reported {
		return !server.Spare
	}
	return state.LoadedModel == "m1" && state.LoadedVersion == version
}

func drawState(t *rapid.T) snapshot.State {
	return snapshot.State{
		Requests:      rapid.IntRange(0, 6).Draw(t, "held"),
		Capacity:      4,
		Draining:      rapid.IntRange(0, 5).Draw(t, "leaving") == 0,
		BreakerOpen:   rapid.IntRange(0, 5).Draw(t, "breaker") == 0,
		Reported:      rapid.Bool().Draw(t, "reported"),
		LoadedModel:   rapid.SampledFrom([]string{"", "m1", "m1", "m1"}).Draw(t, "loaded"),
		LoadedVersion: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "loaded version"),
		Unreachable:   rapid.IntRange(0, 5).Draw(t, "unreachable") == 0,
		Suspects:      rapid.IntRange(0, 1).Draw(t, "suspects"),
	}
}

func TestNoPurposeBreaksARule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		configuration := drawConfiguration(t)
		s := snapshot.Build(configuration, snapshot.Options{Place: snapshot.Place{DataCentre: "d1", Region: "r1"}})
		states := make(snapshot.States, len(s.Servers))
		serverNames := []string{"none"}
		for i := range states {
			states[i] = drawState(t)
			serverNames = append(serverNames, s.Servers[i].Name)
		}
		request := serving.RouteRequest{
			RequestID:       rapid.StringN(1, 4, 4).Draw(t, "id"),
			ClientAccount:   rapid.SampledFrom([]string{"a1", "a2"}).Draw(t, "account"),
			Firm:            rapid.SampledFrom([]string{"f1", "f2"}).Draw(t, "firm"),
			Service:         rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "service"),
			Model:           "m1",
			Version:         rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "version"),
			Prompt:          rapid.SampledFrom([]string{"", strings.Repeat("document", 1000)}).Draw(t, "prompt"),
			Exclude:         rapid.SliceOfN(rapid.SampledFrom(serverNames), 0, 2).Draw(t, "exclude"),
			Avoid:           rapid.SliceOfN(rapid.SampledFrom(serverNames), 0, 2).Draw(t, "avoid"),
			NearServer:      rapid.SampledFrom(append(serverNames, "")).Draw(t, "near"),
			IsolatedSuspect: rapid.Bool().Draw(t, "suspect"),
		}
		for _, purpose := range serving.Purposes() {
			request.Purpose = purpose
			choice, err := routing.Default().Route(snapshot.NewView(s, request, states), rand.New(rand.NewPCG(1, 1)))
			checkChoice(is, configuration, states, request, choice, err)
		}
	})
}

// checkChoice compares a choice or refusal with a reading of every rule for
// every declared server.
func checkChoice(is *is.I, configuration *estate.Configuration, states snapshot.States, request serving.RouteRequest, choice routing.Choice, err error) {
	version := neededVersion(request)
	ruled, usable, declared := 0, map[int]bool{}, 0
	for i, server := range configuration.BackendServers {
		if server.Service != request.Service || (server.Version != version && !server.Spare) {
			continue
		}
		declared++
		allowed := slices.ContainsFunc(configuration.Rules, func(rule estate.Rule) bool { return ruleAllows(rule, request, server) })
		if !allowed {
			continue
		}
		ruled++
		state := states[i]
		usable[i] = !state.Draining && !state.BreakerOpen && hasLoaded(server, state, version) && !state.Unreachable &&
			!slices.Contains(request.Exclude, server.Name) && (!request.IsolatedSuspect || state.Suspects == 0)
	}
	if err == nil {
		is.True(usable[choice.Server]) // the choice is allowed and usable
		return
	}
	for _, ok := range usable {
		is.True(!ok) // a refusal has no usable server
	}
	if declared > 0 && ruled == 0 {
		is.True(fault.HasCode(err, fault.NoRule))
	}
	if ruled > 0 {
		is.True(fault.HasCode(err, fault.NoBackendServer))
	}
}

func TestRefusalNamesTheRule(t *testing.T) {
	is := is.New(t)
	configuration := &estate.Configuration{
		DataCentres: []estate.DataCentre{{Name: "d1", Region: "r1"}},
		Services:    []estate.Service{{Name: "s1"}},
		Rules:       []estate.Rule{{Name: "other", ClientAccounts: []string{"a9"}}, {Name: "near", Services: []string{"s2"}}},
	}
	s := snapshot.Build(configuration, snapshot.Options{})
	request := serving.RouteRequest{ClientAccount: "a1", Service: "s1", Purpose: serving.PurposeFirst}
	_, err := routing.Default().Route(snapshot.NewView(s, request, nil), rand.New(rand.NewPCG(1, 1)))
	is.True(fault.HasCode(err, fault.NoRule))
	is.Equal(fault.From(err).Reason, "rule near came nearest to allowing client account a1 but doesn't match its service")
	is.Equal(fault.From(err).Execution, fault.ExecutionNotRun)
}
