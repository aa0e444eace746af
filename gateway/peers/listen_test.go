package peers

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
)

// silentLedger knows nothing and forgets what it is told.
type silentLedger struct{}

func (silentLedger) Loads() []ServerLoad                 { return nil }
func (silentLedger) Report(string, []ServerLoad)         {}
func (silentLedger) Usages() []ServiceUsage              { return nil }
func (silentLedger) ReportUsages(string, []ServiceUsage) {}
func (silentLedger) ReportFailure(FailedServer)          {}
func (silentLedger) Expire(time.Duration)                {}

// newService returns a service that does not run.
func newService(address netip.AddrPort) *Service {
	state, servers := discovery.NewState(), directory.New()
	follower := discovery.NewFollower(nil, state, servers, func() discovery.RelayRole { return discovery.Passive }, func() {}, zerolog.Nop())
	return New(Options{
		Instance: "instance-1", DataCentre: "a", Address: address, State: state, Directory: servers,
		Follower: follower, Ledger: silentLedger{}, Logger: zerolog.Nop(),
	})
}

// TestGreetingsAreAnsweredFromTheFirstMoment greets a service while it opens its
// address: a restarted instance is greeted by all others at once.
func TestGreetingsAreAnsweredFromTheFirstMoment(t *testing.T) {
	is := is.New(t)
	greeting := Encode(&Digest{Instance: "instance-2", DataCentre: "a", Incarnation: 1, Probe: true})
	for range 30 {
		// Instances share the port of the exchange.
		greeter, err := net.ListenPacket("udp4", "127.0.0.2:0")
		is.NoErr(err)
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), netip.MustParseAddrPort(greeter.LocalAddr().String()).Port())
		service := newService(address)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for end := time.Now().Add(40 * time.Millisecond); time.Now().Before(end); {
				// Nobody may listen yet: a lost greeting is repeated.
				_, _ = greeter.WriteTo(greeting, net.UDPAddrFromAddrPort(address))
			}
		}()
		is.NoErr(service.Listen())
		<-done
		is.NoErr(greeter.SetReadDeadline(time.Now().Add(2 * time.Second)))
		_, _, err = greeter.ReadFrom(make([]byte, 2048))
		is.NoErr(err)
		is.NoErr(service.transport.Close())
		is.NoErr(greeter.Close())
	}
}
