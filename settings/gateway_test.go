package settings_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/settings"
)

func TestRelaySettingsAreChecked(t *testing.T) {
	is := is.New(t)
	section := settings.Gateway{
		Clients: "127.0.0.1:1", Readiness: "127.0.0.1:2", Metrics: "127.0.0.1:3", Peers: "127.0.0.1:4", Store: "127.0.0.1:5",
		Relay: "localhost:6", RelayedRequests: -1,
	}
	s := settings.Settings{Instance: "i", DataCentre: "a", Region: "north", Gateway: &section}
	var paths []string
	for _, problem := range settings.Validate(s) {
		is.True(problem.Reason != "")
		paths = append(paths, problem.Path)
	}
	is.Equal(paths, []string{"gateway.relay", "gateway.relayed_requests"})
	section.Relay, section.RelayedRequests = "127.0.0.1:6", 0
	is.Equal(len(settings.Validate(s)), 0)
	is.Equal(section.RelayPort(), uint16(6))
	section.Relay = ""
	is.Equal(len(settings.Validate(s)), 0)
	is.Equal(section.RelayPort(), uint16(0))
}
