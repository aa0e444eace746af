package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// tablesOf returns the tables of instances that all know each other.
func tablesOf(count int) []*Table {
	tables := make([]*Table, count)
	for own := range tables {
		tables[own] = NewTable("instance-"+string(rune('A'+own)), addressOf(own), nil)
	}
	for own := range tables {
		for other := range tables {
			digest := Digest{Instance: tables[other].instance, DataCentre: "a", Incarnation: 1, Sequence: 1}
			tables[own].Record(begin, addressOf(other), &digest)
		}
	}
	return tables
}

// Guards against LOST: an instance asks peers that have no record of a stream which others began.
func TestOwnersOfARecordAreAskedForIt(t *testing.T) {
	is := is.New(t)
	tables := tablesOf(40)
	for stream := range 200 {
		key := streamversion.KeyOf("attempt-" + string(rune('a'+stream)))
		recorder, asker := tables[stream%40], tables[(stream*7+3)%40]
		kept, asked := recorder.owners(key), asker.owners(key)
		is.Equal(len(kept), recordOwners)
		common := 0
		for _, a := range kept {
			for _, b := range asked {
				if a.address == b.address {
					common++
				}
			}
		}
		is.True(common >= recordOwners-2) // neither instance is its own peer
	}
}

func TestAllPeersOwnARecordInASmallEstate(t *testing.T) {
	is := is.New(t)
	for _, table := range tablesOf(9) {
		is.Equal(len(table.owners(streamversion.KeyOf("attempt"))), 8)
	}
}

func TestPendingRecordsAreSentInParts(t *testing.T) {
	is := is.New(t)
	p := &peer{}
	for n := range maxRecordsPerDigest + 5 {
		p.pendingRecords = append(p.pendingRecords, streamversion.Record{Key: streamversion.Key(n), Origin: streamversion.Origin{Service: "s", Version: "v1"}})
	}
	is.True(needsDigest(begin.Add(time.Second), &peer{lastSentAt: begin, pendingRecords: p.pendingRecords}, true, false, sendIntervals{local: roundPeriod}, 0))
	first, second := p.takePendingRecords(), p.takePendingRecords()
	is.Equal(len(first), maxRecordsPerDigest)
	is.Equal(len(second), 5)
	is.Equal(second[4].Key, streamversion.Key(maxRecordsPerDigest+4))
	is.Equal(len(p.takePendingRecords()), 0)
}

// Guards against LOST: a restarted peer is not told of the streams that began before.
func TestRestartedPeersGetTheRecentRecords(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), nil)
	receiveDigest(table, begin, 1, nil)
	receiveDigest(table, begin, 2, nil)
	s := &Service{table: table, severalUntil: time.Now().Add(time.Minute)}
	is.Equal(len(table.takeStarted()), 2)
	s.RecordStream(streamversion.Record{Key: 1, Origin: streamversion.Origin{Service: "s", Version: "v1"}})
	for _, p := range table.peers {
		is.Equal(len(p.takePendingRecords()), 1)
	}
	receiveDigest(table, begin.Add(time.Second), 2, func(d *Digest) { d.Incarnation = 2 })
	s.queueRecent(time.Now(), false)
	is.Equal(len(table.peers[addressOf(1)].pendingRecords), 0)
	is.Equal(len(table.peers[addressOf(2)].pendingRecords), 1)
}

// Guards against traffic without use: records are sent although each service has a single version.
func TestRecordsAreSentWhileSeveralVersionsServe(t *testing.T) {
	is := is.New(t)
	table := NewTable("own", addressOf(100), nil)
	receiveDigest(table, begin, 1, nil)
	s := &Service{table: table}
	pending := func() int { return len(table.peers[addressOf(1)].takePendingRecords()) }
	now := time.Now()
	s.queueRecent(now, false)
	s.RecordStream(streamversion.Record{Key: 1, Origin: streamversion.Origin{Service: "s", Version: "v1"}})
	is.Equal(pending(), 0)
	s.queueRecent(now, true)
	is.Equal(pending(), 1) // the stream that began before
	s.RecordStream(streamversion.Record{Key: 2, Origin: streamversion.Origin{Service: "s", Version: "v2"}})
	is.Equal(pending(), 1)
	s.queueRecent(now.Add(time.Second), true)
	is.Equal(pending(), 0)
}

func TestMalformedStreamRecordsAreErrors(t *testing.T) {
	is := is.New(t)
	keys := func(b []byte, packed string) []byte {
		return protowire.AppendString(protowire.AppendTag(b, tagGroupKeys, protowire.BytesType), packed)
	}
	for _, part := range [][]byte{
		keys(appendText(appendText(nil, tagGroupService, "s"), tagGroupVersion, "v1"), "1234567"),
		keys(nil, "12345678"),
		keys(appendText(nil, tagGroupService, "s"), "12345678"),
		keys(appendText(nil, tagGroupVersion, "v1"), "12345678"),
		keys(appendText(appendText(nil, tagGroupService, "s"), tagGroupVersion, string(make([]byte, maxOriginBytes+1))), "12345678"),
	} {
		payload := protowire.AppendBytes(protowire.AppendTag(appendText(nil, tagInstance, "i"), tagStreamRecords, protowire.BytesType), part)
		_, err := Decode(payload)
		is.True(fault.HasCode(err, fault.PeerMessage))
	}
}
