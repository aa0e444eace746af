package directory

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// follow applies a list of the store to a directory.
func follow(d *Directory, asOf revision.Revision, entries ...*Server) {
	listed := make(map[string]bool)
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	d.Apply(entries, asOf, d.now())
	for _, id := range d.Unlisted(listed, asOf) {
		d.Remove(id, asOf)
	}
}

// Guards against DRAIN: an instance takes a server from a peer again whose removal nobody has on record, as its own list of
// the store, which is the later one, has no change since.
func TestEntryOfAnEarlierListIsNotTakenAgain(t *testing.T) {
	is := is.New(t)
	peer, started := New(), New()
	follow(peer, 14, server("a", 12), server("removed", 14))
	follow(started, 15, server("a", 12))
	is.True(started.Revision() < peer.Revision()) // the removed entry was the one that changed last
	changed, _ := started.Import(peer.Export(0))
	is.Equal(changed, 0)
	is.True(started.Snapshot().Find("removed") == nil)
	peer.Put(server("joined", 16))
	started.Import(peer.Export(15))
	is.True(started.Snapshot().Find("joined") != nil) // it is later than the list
}

// Guards against an instance that gets no list: it has none itself, and its peers' are of any age.
func TestInstanceWithoutAListTakesAnyList(t *testing.T) {
	is := is.New(t)
	peer, starting := New(), New()
	follow(peer, 14, server("a", 12))
	_, unlisted := starting.Import(peer.Export(0))
	is.Equal(len(unlisted), 0)
	is.True(starting.Snapshot().Find("a") != nil)
	is.Equal(starting.AsOf(), revision.Revision(14))
}

// writtenStore is a store whose content at each revision is kept.
type writtenStore struct {
	contents []map[string]*Server
}

func (s *writtenStore) at() revision.Revision { return revision.Revision(len(s.contents) - 1) }

// write records the next revision, with a new entry or a removed one.
func (s *writtenStore) write(id string, removed bool) {
	next := make(map[string]*Server)
	for known, entry := range s.contents[s.at()] {
		next[known] = entry
	}
	s.contents = append(s.contents, next)
	delete(next, id)
	if !removed {
		next[id] = server(id, s.at())
	}
}

// entries returns copies of the entries as of a revision.
func (s *writtenStore) entries(asOf revision.Revision) []*Server {
	var entries []*Server
	for _, entry := range s.contents[asOf] {
		copied := *entry
		entries = append(entries, &copied)
	}
	return entries
}

// watch applies the changes after the position of a watch, up to now.
func (s *writtenStore) watch(d *Directory, position revision.Revision) {
	var entries []*Server
	for _, entry := range s.entries(s.at()) {
		if entry.Revision > position {
			entries = append(entries, entry)
		}
	}
	d.Apply(entries, s.at(), d.now())
	for number := position + 1; number <= s.at(); number++ {
		for id := range s.contents[number-1] {
			if s.contents[number][id] == nil && s.contents[s.at()][id] == nil {
				d.Remove(id, s.at())
			}
		}
	}
	d.Advance(s.at())
}

// checkAsOf fails if a directory isn't complete as of the revision that it states.
func (s *writtenStore) checkAsOf(t *rapid.T, name string, d *Directory) {
	then := s.contents[d.AsOf()]
	for _, known := range d.Snapshot().All {
		if entry := then[known.ID]; known.Revision <= d.AsOf() && (entry == nil || entry.Revision != known.Revision) {
			t.Fatalf("%s has %s of %v, which the store didn't list as of %v", name, known.ID, known.Revision, d.AsOf())
		}
	}
	for id, entry := range then {
		if d.Snapshot().Find(id) == nil && s.contents[s.at()][id] == entry {
			t.Fatalf("%s lacks %s, which the store lists since %v, as of %v", name, id, entry.Revision, d.AsOf())
		}
	}
}

// TestListsAreCompleteAsOfTheirRevision lets instances read a store and each other in any order, end and start again. Each list
// has what the store listed at the revision as of which it claims to be complete, and nothing of before besides.
func TestListsAreCompleteAsOfTheirRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &writtenStore{contents: []map[string]*Server{{}}}
		store.write("w-0", false)
		var all [4]*Directory
		var positions [4]revision.Revision // of the watches, 0 for none
		for n := range all {
			all[n] = New()
		}
		for range rapid.IntRange(1, 250).Draw(t, "steps") {
			n := rapid.IntRange(0, len(all)-1).Draw(t, "instance")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				store.write(fmt.Sprint("w-", rapid.IntRange(0, 4).Draw(t, "server")), rapid.Bool().Draw(t, "removed"))
			case 2:
				all[n], positions[n] = New(), 0
			case 3:
				asOf := store.at()
				if all[n].AsOf() == 0 { // the first list may be old
					asOf = revision.Revision(rapid.IntRange(1, int(asOf)).Draw(t, "as of"))
				}
				follow(all[n], asOf, store.entries(asOf)...)
				positions[n] = asOf
			case 4:
				if positions[n] > 0 {
					store.watch(all[n], positions[n])
					positions[n] = store.at()
				}
			default:
				compare(t, all[n], all[rapid.IntRange(0, len(all)-1).Draw(t, "peer")])
			}
			for n, d := range all {
				store.checkAsOf(t, fmt.Sprint("instance ", n), d)
			}
		}
	})
}

// compare reads a peer's changes, and the names of its servers and its complete list where both differ nevertheless. The peer may
// end before each of them, and its list may be the earlier one.
func compare(t *rapid.T, d, peer *Directory) {
	after := d.AsOf()
	exports := []Export{peer.Export(after), peer.ExportNaming(after), peer.Export(0)}
	for _, export := range exports[:rapid.IntRange(1, len(exports)).Draw(t, "reads")] {
		_, unlisted := d.Import(transferred(t, export))
		for _, server := range unlisted {
			d.Remove(server.ID, export.AsOf)
		}
		if d.Snapshot().Fingerprint == export.Fingerprint {
			return
		}
	}
}

// transferred returns an export as a peer receives it.
func transferred(t *rapid.T, export Export) (received Export) {
	text, err := json.Marshal(export)
	if err == nil {
		err = json.Unmarshal(text, &received)
	}
	if err != nil {
		t.Fatal(err)
	}
	return received
}
