package directory

import (
	"testing"

	"github.com/matryer/is"
)

// restartedAtItsAddress returns a directory with a crashed server and the one that was restarted at its address.
func restartedAtItsAddress(is *is.I) (d *Directory, crashed *Server) {
	d, crashed = New(), server("crashed", 1)
	restarted := server("restarted", 2)
	restarted.Address = crashed.Address
	is.True(d.Put(crashed))
	is.True(d.Put(restarted))
	return d, crashed
}

// Guards against DRAIN: a server whose entry was removed takes requests again because it still answers at its address.
func TestRemovedServerIsNotAdopted(t *testing.T) {
	is := is.New(t)
	d, crashed := restartedAtItsAddress(is)
	is.True(d.Remove("restarted", 3) != nil)
	is.True(d.Adopt(crashed, "restarted") == nil)
	is.True(d.Snapshot().Find("restarted") == nil)
}

// Guards against DRAIN: a server that a later one at its address hides is listed again when that one leaves.
func TestListRemovesServersThatOthersAtTheirAddressHide(t *testing.T) {
	is := is.New(t)
	d, _ := restartedAtItsAddress(is)
	is.Equal(d.Unlisted(map[string]bool{"restarted": true}, 3), []string{"crashed"})
}
