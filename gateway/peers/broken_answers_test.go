package peers

import (
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/standin/brokenanswer"
)

// Guards against CONFIG and ROUTE: a broken answer of a peer counts as its configuration or its servers.
func TestBrokenAnswersOfPeersAreErrors(t *testing.T) {
	for target, body := range map[string]string{configurationPath: `{"Version":7}`, serversPath: `{"Complete":true}`} {
		for name, answer := range brokenanswer.All("", body, false) {
			t.Run(target+"/"+name, func(t *testing.T) {
				is := is.New(t)
				var sound atomic.Bool
				server, err := brokenanswer.NewServer(func(c *brokenanswer.Call) {
					if sound.Load() {
						c.Succeed("", body)
						return
					}
					answer(c)
				})
				is.NoErr(err)
				defer server.Close()
				address := netip.MustParseAddrPort(server.Address())
				service := New(Options{Instance: "instance-1", Address: address})
				_, err = service.get(address.Addr(), target)
				is.True(err != nil)
				sound.Store(true)
				got, err := service.get(address.Addr(), target)
				is.NoErr(err)
				is.Equal(string(got), body)
			})
		}
	}
}
