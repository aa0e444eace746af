package directory

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// storeModel is a store with the entries of a few servers, which may come back from an older copy.
type storeModel struct {
	era, number uint64
	entries     map[string]Server
	copies      []storeModel
}

func (s *storeModel) at() revision.Revision {
	made, err := revision.New(s.era, s.number)
	if err != nil {
		panic(err)
	}
	return made
}

func (s *storeModel) clone() storeModel {
	copied := storeModel{era: s.era, number: s.number, entries: make(map[string]Server)}
	for id, entry := range s.entries {
		copied.entries[id] = entry
	}
	return copied
}

// restore brings the store back from a copy.
func (s *storeModel) restore(from storeModel) {
	era := s.era + 1
	copies := s.copies
	*s = from.clone()
	s.era, s.copies = era, copies
}

// put writes an entry and returns it.
func (s *storeModel) put(id string, incarnation int64, draining bool) *Server {
	s.number++
	entry := Server{ID: id, Service: "s", Address: "address of " + id, Incarnation: incarnation, Draining: draining, Revision: s.at()}
	s.entries[id] = entry
	return &entry
}

// list applies the whole content to a directory, as a follower does.
func (s *storeModel) list(d *Directory) {
	for _, entry := range s.entries {
		entry.Revision = revision.Revision(s.era<<48 | entry.Revision.Number())
		d.Put(&entry)
	}
	listed := make(map[string]bool)
	for id := range s.entries {
		listed[id] = true
	}
	for _, id := range d.Unlisted(listed, s.at()) {
		d.Remove(id, s.at())
	}
}

// TestDirectoriesConvergeAcrossEras lets two instances follow a store that comes back from older
// copies, one by lists and one also by the other's exports, at any moment. A process that an instance
// has seen draining is never listed there as one that takes requests, and both agree with the store
// once it rests.
func TestDirectoriesConvergeAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		store := storeModel{era: 1, entries: make(map[string]Server)}
		follower, peer := New(), New()
		follower.now = func() time.Time { return now }
		peer.now = follower.now
		draining := make(map[string]map[int64]bool) // seen by the follower
		incarnations := make(map[string]int64)
		running := make(map[string]bool)
		drains := make(map[string]bool)
		// rewrite lets the servers write again what the store has lost, and removes the rest.
		rewrite := func() {
			for _, id := range slices.Sorted(maps.Keys(store.entries)) {
				if !running[id] {
					delete(store.entries, id)
					store.number++
				}
			}
			for _, id := range slices.Sorted(maps.Keys(running)) {
				if entry, found := store.entries[id]; running[id] && (!found || entry.Incarnation != incarnations[id] || entry.Draining != drains[id]) {
					store.put(id, incarnations[id], drains[id])
				}
			}
		}
		exchange := func() {
			peer.Import(follower.Export(peer.Revision()))
			if peer.Snapshot().Fingerprint == follower.Snapshot().Fingerprint {
				return
			}
			_, unlisted := peer.Import(follower.Export(0))
			for _, server := range unlisted {
				peer.Drop(server)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprint("w-", rapid.IntRange(0, 2).Draw(t, "server"))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				incarnations[id]++
				running[id], drains[id] = true, false
				store.put(id, incarnations[id], false)
			case 1:
				if running[id] {
					drains[id] = true
					store.put(id, incarnations[id], true)
				}
			case 2:
				running[id] = false
				delete(store.entries, id)
				store.number++
			case 3:
				store.copies = append(store.copies, store.clone())
			case 4:
				if len(store.copies) > 0 {
					store.restore(rapid.SampledFrom(store.copies).Draw(t, "copy"))
				}
			case 5:
				store.list(follower)
			case 6:
				exchange()
			case 7:
				rewrite()
			case 8:
				store.list(peer)
			case 9:
				now = now.Add(time.Second)
				follower.AdmitHeldBack()
				peer.AdmitHeldBack()
			}
			for _, known := range follower.Snapshot().All {
				if draining[known.ID] == nil {
					draining[known.ID] = make(map[int64]bool)
				}
				if known.Draining {
					draining[known.ID][known.Incarnation] = true
				} else if draining[known.ID][known.Incarnation] {
					t.Fatalf("%s drained and takes requests again", known.ID)
				}
			}
		}
		rewrite()
		store.list(follower)
		now = now.Add(holdBackTime)
		follower.AdmitHeldBack()
		exchange()
		now = now.Add(holdBackTime)
		peer.AdmitHeldBack()
		exchange()
		for _, d := range []*Directory{follower, peer} {
			if listed := len(d.Snapshot().All); listed != len(store.entries) {
				t.Fatalf("%d servers, the store has %d", listed, len(store.entries))
			}
			for id, entry := range store.entries {
				known := d.Snapshot().Find(id)
				if known == nil || known.Incarnation != entry.Incarnation || known.Revision.Number() != entry.Revision.Number() {
					t.Fatalf("%s is %+v, in the store %+v", id, known, entry)
				}
			}
		}
	})
}

// TestRemovedServerIsHeldBackInALaterEra guards against requests to a server that has left, because
// the store still lists it after it came back from an older copy.
func TestRemovedServerIsHeldBackInALaterEra(t *testing.T) {
	is := is.New(t)
	d := New()
	store := storeModel{era: 1, entries: make(map[string]Server)}
	store.put("w", 7, false)
	copied := store.clone()
	store.list(d)
	delete(store.entries, "w")
	store.number++
	store.list(d)
	is.Equal(len(d.Snapshot().All), 0)
	store.restore(copied)
	store.list(d)
	is.Equal(len(d.Snapshot().All), 0) // held back
	is.True(d.Put(store.put("w", 7, false)))
	is.Equal(len(d.Snapshot().All), 1) // the server runs: it wrote its entry in this era
}

func TestLeavingStaysWithItsProcess(t *testing.T) {
	is := is.New(t)
	d := New()
	first := &Server{ID: "w", Service: "s", Address: "address", Incarnation: 1, Revision: 1}
	d.Put(first)
	is.True(d.MarkLeaving(first))
	is.True(!d.MarkLeaving(first))
	is.True(d.Snapshot().Find("w").Draining)
	d.Put(&Server{ID: "w", Service: "s", Address: "address", Incarnation: 1, Revision: 2})
	is.True(d.Snapshot().Find("w").Draining) // whatever the store says
	d.Remove("w", 3)
	d.Put(&Server{ID: "w", Service: "s", Address: "address", Incarnation: 1, Revision: 4})
	is.True(d.Snapshot().Find("w").Draining)
	d.Put(&Server{ID: "w", Service: "s", Address: "address", Incarnation: 2, Revision: 5})
	is.True(!d.Snapshot().Find("w").Draining) // a new process
}
