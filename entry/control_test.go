package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/objectstore/httpstore"
	"github.com/wisteriahaven/wisteriahaven/standin/loopback"
	"github.com/wisteriahaven/wisteriahaven/standin/objectapi"
)

// controlPatience ends a test whose condition never comes true.
const controlPatience = time.Minute

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(controlPatience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("never happened: " + what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func startEstate(t *testing.T) *loopback.Estate {
	t.Helper()
	estate, err := loopback.Start(loopback.Options{Directory: "../examples/bavaria", Logger: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(estate.Stop)
	return estate
}

// seen returns the states of an instance's members by name.
func seen(state dump.Instance) map[string]string {
	states := make(map[string]string)
	for _, member := range state.Members {
		states[member.Instance] = member.State
	}
	return states
}

func TestInstancesFollowTheConfigurationAndEachOther(t *testing.T) {
	is := is.New(t)
	estate := startEstate(t)
	others := len(estate.Entries) - 1
	await(t, "every instance sees every other", func() bool {
		for _, instance := range estate.Entries {
			if len(seen(instance.Dump(0))) != others {
				return false
			}
		}
		return true
	})

	next := *estate.Configuration
	next.Shifts = nil
	revision, err := configstore.Commit(t.Context(), httpstore.New(estate.ObjectAPI.URL()), estate.Configuration, &next, "second")
	is.NoErr(err)
	await(t, "the change is in force everywhere", func() bool {
		for _, instance := range estate.Entries {
			if instance.Dump(0).Revision != revision {
				return false
			}
		}
		return true
	})
}

func TestInstanceStartsFromItsPeersWhileThePlatformIsDown(t *testing.T) {
	is := is.New(t)
	estate := startEstate(t)
	revision := estate.Configuration.Revision
	estate.ObjectAPI.SetFaults(objectapi.Faults{Outage: true})
	restarted, err := estate.Restart(3)
	is.NoErr(err)
	await(t, "the new instance is ready", restarted.Ready)
	is.Equal(restarted.Dump(0).Revision, revision)
}

func TestLostInstanceIsNoticedByItsDataCentre(t *testing.T) {
	estate := startEstate(t)
	lost := estate.Entries[2].Dump(0)
	neighbour := -1
	for index, instance := range estate.Entries {
		if index != 2 && instance.Dump(0).DataCentre == lost.DataCentre {
			neighbour = index
		}
	}
	await(t, "the neighbour sees it", func() bool {
		return seen(estate.Entries[neighbour].Dump(0))[lost.Instance] == "alive"
	})
	estate.Entries[2].Abort()
	await(t, "the neighbour holds it for dead", func() bool {
		return seen(estate.Entries[neighbour].Dump(0))[lost.Instance] == "dead"
	})
}
