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

// controlPatience is the time after which a test fails whose condition has not
// become true.
const controlPatience = time.Minute

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(controlPatience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("timed out before: " + what)
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

// seen returns the membership states that an instance reports, by instance.
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
	await(t, "every instance lists every other", func() bool {
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
	await(t, "the peer of its data centre lists it as alive", func() bool {
		return seen(estate.Entries[neighbour].Dump(0))[lost.Instance] == "alive"
	})
	estate.Entries[2].Abort()
	await(t, "the peer of its data centre lists it as dead", func() bool {
		return seen(estate.Entries[neighbour].Dump(0))[lost.Instance] == "dead"
	})
}
