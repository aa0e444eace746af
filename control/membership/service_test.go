package membership_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/wisteriahaven/wisteriahaven/control/membership"
	decision "github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/settings"
	"github.com/wisteriahaven/wisteriahaven/transport/gossip"
	"github.com/wisteriahaven/wisteriahaven/transport/peerauth"
)

// patience ends a test whose condition never comes true.
const patience = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

func codec(t *testing.T, secret string) *gossip.Codec {
	t.Helper()
	keys := settings.KeyRing{Active: "k", Keys: []settings.Key{{ID: "k", Secret: strings.Repeat(secret, 32)}}}
	ring, err := peerauth.NewKeyRing(keys)
	if err != nil {
		t.Fatal(err)
	}
	return gossip.NewCodec(ring)
}

// instance is one running membership duty.
type instance struct {
	*membership.Service
	stop func()
}

func startInstance(t *testing.T, name string, codec *gossip.Codec, seeds []settings.Peer) instance {
	t.Helper()
	service, err := membership.New(membership.Options{
		Config: decision.Config{
			Self:             settings.Peer{Instance: name, DataCentre: "a", Region: "r"},
			Incarnation:      uint64(time.Now().UnixMilli()),
			Seeds:            seeds,
			Period:           100 * time.Millisecond,
			TickInterval:     20 * time.Millisecond,
			SuspicionTimeout: time.Second,
		},
		Listen: "127.0.0.1:0",
		Codec:  codec,
		Seed:   1,
		Logger: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { service.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		wait.Wait()
		_ = service.Close()
	})
	t.Cleanup(stop)
	return instance{Service: service, stop: stop}
}

func startFleet(t *testing.T, count int) []instance {
	t.Helper()
	shared := codec(t, "11")
	var fleet []instance
	var seeds []settings.Peer
	for index := range count {
		started := startInstance(t, fmt.Sprintf("entry-%d", index), shared, seeds)
		fleet = append(fleet, started)
		if index == 0 {
			seeds = []settings.Peer{{Instance: "entry-0", DataCentre: "a", Region: "r", Gossip: started.Address()}}
		}
	}
	await(t, "every instance knows every other", func() bool { return allLive(fleet, count) })
	return fleet
}

func allLive(fleet []instance, count int) bool {
	for _, member := range fleet {
		if len(member.View().Live("a")) != count {
			return false
		}
	}
	return true
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("never happened: " + what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestInstancesFindEachOtherAndADeadOne(t *testing.T) {
	fleet := startFleet(t, 5)
	fleet[4].stop()
	await(t, "the dead instance is noticed", func() bool { return allLive(fleet[:4], 4) })
}

func TestMarksReachEveryInstanceAndAreWithdrawn(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, 5)
	expires := time.Now().Add(time.Hour)
	is.True(fleet[2].PostNotice(decision.NoticeBackendServer, "engine-1", "drained", expires, true))
	marked := func(want bool) func() bool {
		return func() bool {
			for _, member := range fleet {
				if member.View().HasNotice(decision.NoticeBackendServer, "engine-1", time.Now()) != want {
					return false
				}
			}
			return true
		}
	}
	await(t, "the mark is everywhere", marked(true))
	is.True(fleet[3].WithdrawNotice(decision.NoticeBackendServer, "engine-1", expires, true))
	await(t, "the mark is withdrawn everywhere", marked(false))
}

func TestLeavingInstanceAndDemandAreSeen(t *testing.T) {
	fleet := startFleet(t, 3)
	account := decision.AccountIDOf("amt")
	fleet[1].SetDemand([]decision.Demand{{Account: account, Requests: 60}})
	fleet[1].SetRevision(7)
	fleet[1].Leave()
	await(t, "the others see it", func() bool {
		view := fleet[0].View()
		record, _ := view.Record("entry-1")
		return record.Leaving && record.Revision == 7 && len(view.DemandOf(account)) == 1
	})
}

func TestForgedAndReplayedDatagramsChangeNothing(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, 3)
	raw, err := net.Dial("udp", fleet[0].Address())
	is.NoErr(err)
	defer func() { _ = raw.Close() }()

	intruder := decision.Record{
		Peer:        settings.Peer{Instance: "intruder", DataCentre: "a", Region: "r", Gossip: "127.0.0.1:9"},
		Incarnation: 1,
	}
	dead, _ := fleet[0].View().Record("entry-1")
	dead.Health = decision.Dead
	digest := decision.Digest{Kind: decision.Update, From: intruder, To: "entry-0", Sequence: 1, Records: []decision.Record{dead}}
	forged, err := codec(t, "99").Encode(digest)
	is.NoErr(err)
	recorded, err := codec(t, "11").Encode(digest) // right key, as in a recording of a former instance
	is.NoErr(err)
	for _, datagram := range [][]byte{forged, recorded, recorded, forged[:10], make([]byte, 9000)} {
		_, err = raw.Write(datagram)
		is.NoErr(err)
	}
	await(t, "the datagrams are counted", func() bool {
		status := fleet[0].Status()
		return status.Datagrams.Unauthenticated == 1 && status.Datagrams.Oversized == 1 &&
			status.Datagrams.Malformed == 1 && status.Decisions.Unproven >= 2
	})
	is.Equal(len(fleet[0].View().Live("a")), 3)
	_, known := fleet[0].View().Record("intruder")
	is.True(!known)
}
