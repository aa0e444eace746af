package peers

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// largeEstate returns the table of an instance that knows all others and sends them digests under load.
func largeEstate(instances, centres int) (*Table, sendIntervals) {
	table := NewTable("instance-0", netip.AddrFrom4([4]byte{10, 0, 0, 0}), nil)
	for n := 1; n < instances; n++ {
		name, address := "instance-"+strconv.Itoa(n), netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
		table.peers[address] = &peer{instance: name, address: address, dataCentre: strconv.Itoa(n % centres), nameDigest: rendezvous.DigestOf(name)}
	}
	intervals := sendIntervalsFor(table.Members(), "0")
	for _, p := range table.peers {
		interval := intervals.local
		if p.dataCentre != "0" {
			interval = intervals.remote
		}
		p.lastSentAt = begin.Add(-time.Duration(rand.Int64N(int64(interval))))
	}
	return table, intervals
}

// Guards against LOST: in a large estate the digests to most owners of a record are a minute apart.
func TestRecordReachesAnOwnerSoonInALargeEstate(t *testing.T) {
	const streams = 500
	for _, size := range []struct{ instances, centres int }{{9, 3}, {100, 4}, {400, 4}, {2400, 4}, {2400, 12}} {
		table, intervals := largeEstate(size.instances, size.centres)
		reached := make(map[time.Duration]int)
		survives := make(map[time.Duration]int)
		ages := []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second}
		for stream := range streams {
			owners := table.owners(streamversion.KeyOf("attempt-" + strconv.Itoa(stream)))
			killed := make(map[*peer]bool)
			for _, p := range owners {
				killed[p] = rand.Float64() < 0.6
			}
			for _, age := range ages {
				has, hasSurvivor := false, false
				for _, p := range owners {
					due := *p
					due.pendingRecords = []streamversion.Record{{Key: 1, Origin: streamversion.Origin{Service: "s", Version: "v1"}}}
					if needsDigest(begin.Add(age), &due, p.dataCentre == "0", false, intervals, 0) {
						has = true
						hasSurvivor = hasSurvivor || !killed[p]
					}
				}
				if has {
					reached[age]++
				}
				if hasSurvivor {
					survives[age]++
				}
			}
		}
		t.Logf("%d instances, %d centres, intervals %v and %v", size.instances, size.centres, intervals.local, intervals.remote)
		for _, age := range ages {
			t.Logf("  after %v: at an owner %d of %d, at one that 60%% killed leave %d", age, reached[age], streams, survives[age])
		}
		if reached[2*time.Second] < streams*9/10 {
			t.Errorf("%d instances in %d centres: %d of %d records are at an owner after 2 s", size.instances, size.centres, reached[2*time.Second], streams)
		}
	}
}

func BenchmarkOwnersInALargeEstate(b *testing.B) {
	table, _ := largeEstate(2400, 4)
	for n := range b.N {
		table.owners(streamversion.Key(n))
	}
}
