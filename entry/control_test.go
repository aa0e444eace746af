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

// conditionTimeout is the time after which a test fails whose condition has not
// become true.
const conditionTimeout = time.Minute

func waitUntil(t *testing.T, expectation string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("timed out before: " + expectation)
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

// memberStates returns the membership states that an instance reports, by instance.
func memberStates(state dump.Instance) map[string]string {
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
	waitUntil(t, "every instance lists every other", func() bool {
		for _, instance := range estate.Entries {
			if len(memberStates(instance.Dump(0))) != others {
				return false
			}
		}
		return true
	})

	next := *estate.Configuration
	next.Shifts = nil
	revision, err := configstore.Commit(t.Context(), httpstore.New(estate.ObjectAPI.URL()), estate.Configuration, &next, "second")
	is.NoErr(err)
	waitUntil(t, "the change is in force everywhere", func() bool {
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
	waitUntil(t, "the new instance is ready", restarted.Ready)
	is.Equal(restarted.Dump(0).Revision, revision)
}

func TestFailedInstanceIsDetectedInItsDataCentre(t *testing.T) {
	estate := startEstate(t)
	failed := estate.Entries[2].Dump(0)
	peer := -1
	for index, instance := range estate.Entries {
		if index != 2 && instance.Dump(0).DataCentre == failed.DataCentre {
			peer = index
		}
	}
	waitUntil(t, "the peer of its data centre lists it as alive", func() bool {
		return memberStates(estate.Entries[peer].Dump(0))[failed.Instance] == "alive"
	})
	estate.Entries[2].Abort()
	waitUntil(t, "the peer of its data centre lists it as dead", func() bool {
		return memberStates(estate.Entries[peer].Dump(0))[failed.Instance] == "dead"
	})
}
