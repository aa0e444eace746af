package directory

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against DRAIN: a server whose entry was removed takes requests again because it still answers at its address.
func TestRemovedServerIsNotAdopted(t *testing.T) {
	is := is.New(t)
	d := New()
	crashed, restarted := server("crashed", 1), server("restarted", 2)
	restarted.Address = crashed.Address
	is.True(d.Put(crashed))
	is.True(d.Put(restarted))
	is.True(d.Remove("restarted", 3) != nil)
	is.True(d.Adopt(crashed, "restarted") == nil)
	is.True(d.Snapshot().Find("restarted") == nil)
}

// Guards against DRAIN: a server that a later one at its address hides is listed again when that one leaves.
func TestListRemovesServersThatOthersAtTheirAddressHide(t *testing.T) {
	is := is.New(t)
	d := New()
	crashed, restarted := server("crashed", 1), server("restarted", 2)
	restarted.Address = crashed.Address
	is.True(d.Put(crashed))
	is.True(d.Put(restarted))
	is.Equal(d.Unlisted(map[string]bool{"restarted": true}, 3), []string{"crashed"})
}
