package directory

import (
	"encoding/json"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func server(id string, revision uint64) *Server {
	return &Server{ID: id, Service: "s", Address: "address of " + id, Revision: revision}
}

// TestOrderOfNewsDoesNotMatter gives the same entries and removals to two
// directories in any order, one of them partly by way of the other.
func TestOrderOfNewsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type news struct {
			id       string
			revision uint64
			removed  bool
		}
		var all []news
		for revision := range rapid.IntRange(1, 20).Draw(t, "news") {
			all = append(all, news{
				id:       strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "server")),
				revision: uint64(revision + 1),
				removed:  rapid.Bool().Draw(t, "removed"),
			})
		}
		tell := func(d *Directory, n news) {
			if n.removed {
				d.Remove(n.id, n.revision)
			} else {
				d.Put(server(n.id, n.revision))
			}
		}
		inOrder, mixed := New(), New()
		for _, n := range all {
			tell(inOrder, n)
		}
		for _, n := range rapid.Permutation(all).Draw(t, "order") {
			if rapid.Bool().Draw(t, "by way of another") {
				other := New()
				tell(other, n)
				passed, err := json.Marshal(other.Export(0))
				if err != nil {
					t.Fatal(err)
				}
				var export Export
				if err := json.Unmarshal(passed, &export); err != nil {
					t.Fatal(err)
				}
				mixed.Import(export)
				continue
			}
			tell(mixed, n)
		}
		if inOrder.Snapshot().Fingerprint != mixed.Snapshot().Fingerprint {
			t.Fatalf("%d and %d servers", len(inOrder.Snapshot().All), len(mixed.Snapshot().All))
		}
	})
}

func TestAddressBelongsToTheLastThatRegistered(t *testing.T) {
	is := is.New(t)
	d := New()
	old, young := server("old", 1), server("new", 2)
	young.Address = old.Address
	d.Put(young)
	d.Put(old)
	is.Equal(len(d.Snapshot().All), 1)
	is.Equal(d.Snapshot().FindByAddress(old.Address).ID, "new")
	is.True(d.Snapshot().Find("old") == nil)
}

func TestAdoptedServerIsReplacedByItsEntry(t *testing.T) {
	is := is.New(t)
	d := New()
	old := server("old", 5)
	d.Put(old)
	is.True(d.Adopt(old, "new") != nil)
	is.True(d.Adopt(old, "new") == nil) // it is not listed any more
	is.True(!d.Put(old))                // older news does not bring it back
	is.Equal(d.Snapshot().Find("new").Address, old.Address)
	entry := server("new", 9)
	is.True(d.Put(entry))
	is.True(!d.Snapshot().Find("new").Adopted)
	other := New()
	other.Put(server("else", 20))
	export := d.Export(20)
	is.Equal(len(export.Servers), 0)
}

// TestManyChangesCostOneSnapshot takes over a list of servers one after the other.
func TestManyChangesCostOneSnapshot(t *testing.T) {
	is := is.New(t)
	const count = 2000
	d := New()
	allocations := testing.AllocsPerRun(1, func() {
		for i := range count {
			d.Put(server(strconv.Itoa(i), uint64(i+1)))
		}
	})
	is.True(allocations < 20*count) // a snapshot of all servers each would be millions
	built := d.Snapshot()
	is.Equal(len(built.All), count)
	is.True(d.Snapshot() == built) // nothing changed since
}

// TestRemovalsAreTold once: to an instance that got the list before it, and also when
// the server had time to come back, so that its removal is older than other news.
func TestRemovalsAreToldOnce(t *testing.T) {
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
	d.Remove("a", 5) // late
	is.Equal(exchange(), 1)
	is.True(other.Snapshot().Find("a") == nil)
	d.Put(server("d", 12))
	is.Equal(exchange(), 1) // may be told again while nothing newer was known
	is.Equal(exchange(), 0)
	is.Equal(other.Snapshot().Fingerprint, d.Snapshot().Fingerprint)
}
