package directory

import (
	"encoding/json"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

func server(id string, at revision.Revision) *Server {
	return &Server{ID: id, Service: "s", Address: "address of " + id, Revision: at}
}

// TestUpdateOrderDoesNotMatter checks that directories agree when they get the same entries and
// removals in different orders, directly or through the export of a third directory.
func TestUpdateOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type update struct {
			id       string
			revision revision.Revision
			removed  bool
		}
		var all []update
		for number := range rapid.IntRange(1, 20).Draw(t, "news") {
			all = append(all, update{
				id:       strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "server")),
				revision: revision.Revision(number + 1),
				removed:  rapid.Bool().Draw(t, "removed"),
			})
		}
		applyUpdate := func(d *Directory, u update) {
			if u.removed {
				d.Remove(u.id, u.revision)
			} else {
				d.Put(server(u.id, u.revision))
			}
		}
		inOrder, mixed := New(), New()
		for _, u := range all {
			applyUpdate(inOrder, u)
		}
		for _, u := range rapid.Permutation(all).Draw(t, "order") {
			if rapid.Bool().Draw(t, "by way of another") {
				other := New()
				applyUpdate(other, u)
				encoded, err := json.Marshal(other.Export(0))
				if err != nil {
					t.Fatal(err)
				}
				var export Export
				if err := json.Unmarshal(encoded, &export); err != nil {
					t.Fatal(err)
				}
				mixed.Import(export)
				continue
			}
			applyUpdate(mixed, u)
		}
		if inOrder.Snapshot().Fingerprint != mixed.Snapshot().Fingerprint {
			t.Fatalf("%d and %d servers", len(inOrder.Snapshot().All), len(mixed.Snapshot().All))
		}
	})
}

func TestAddressBelongsToTheNewestEntry(t *testing.T) {
	is := is.New(t)
	d := New()
	old, newer := server("old", 1), server("new", 2)
	newer.Address = old.Address
	d.Put(newer)
	d.Put(old)
	is.Equal(len(d.Snapshot().All), 1)
	is.Equal(d.Snapshot().FindByAddress(old.Address).ID, "new")
	is.True(d.Snapshot().Find("old") == nil)
}

// Guards against ORDER: streams go on at the successor of a server that left for another version.
func TestAdoptedServerHasTheVersionOfACrashedOneOnly(t *testing.T) {
	is := is.New(t)
	for _, draining := range []bool{false, true} {
		d := New()
		old := server("old", 7)
		old.SoftwareVersion, old.Draining = "v1", draining
		is.True(d.Put(old))
		is.Equal(d.Adopt(old, "new").SoftwareVersion, map[bool]string{false: "v1", true: ""}[draining])
		entry := server("new", 9)
		entry.SoftwareVersion = "v2"
		is.True(d.Put(entry))
		is.Equal(d.Snapshot().Find("new").SoftwareVersion, "v2")
	}
}

func TestAdoptedServerIsReplacedByItsEntry(t *testing.T) {
	is := is.New(t)
	d := New()
	old := server("old", 5)
	d.Put(old)
	is.True(d.Adopt(old, "new") != nil)
	is.True(d.Adopt(old, "new") == nil) // it is not listed any more
	is.True(!d.Put(old))                // an outdated entry does not add it again
	is.Equal(d.Snapshot().Find("new").Address, old.Address)
	entry := server("new", 9)
	is.True(d.Put(entry))
	is.True(!d.Snapshot().Find("new").Adopted)
	other := New()
	other.Put(server("else", 20))
	export := d.Export(20)
	is.Equal(len(export.Servers), 0)
}

// TestManyChangesCostOneSnapshot guards against building a snapshot for each of many changes.
func TestManyChangesCostOneSnapshot(t *testing.T) {
	is := is.New(t)
	const count = 2000
	d := New()
	allocations := testing.AllocsPerRun(1, func() {
		for i := range count {
			d.Put(server(strconv.Itoa(i), revision.Revision(i+1)))
		}
	})
	is.True(allocations < 20*count) // a snapshot for each change would make millions
	snapshot := d.Snapshot()
	is.Equal(len(snapshot.All), count)
	is.True(d.Snapshot() == snapshot) // nothing changed since
}

// TestRemovalsAreExportedOnce checks that an export holds a removal for a peer that got an
// earlier list, also when the removal was deferred and has a lower revision than later
// entries; and that later exports leave it out.
func TestRemovalsAreExportedOnce(t *testing.T) {
	is := is.New(t)
	d, other := New(), New()
	exchange := func() int {
		export := d.Export(other.Revision())
		other.Import(export)
		return len(export.Removed)
	}
	d.Put(server("a", 1))
	d.Put(server("b", 2))
	is.Equal(exchange(), 0)
	d.Put(server("c", 9))
	is.Equal(exchange(), 0)
	d.Remove("a", 5) // deferred
	is.Equal(exchange(), 1)
	is.True(other.Snapshot().Find("a") == nil)
	d.Put(server("d", 12))
	is.Equal(exchange(), 1) // may be exported again as long as the peer's revision is not newer
	is.Equal(exchange(), 0)
	is.Equal(other.Snapshot().Fingerprint, d.Snapshot().Fingerprint)
}
