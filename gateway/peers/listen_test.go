package peers

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/load"
	"github.com/wisteriahaven/wisteriahaven/decision/overflow"
	"github.com/wisteriahaven/wisteriahaven/decision/poison"
	"github.com/wisteriahaven/wisteriahaven/decision/rejections"
	"github.com/wisteriahaven/wisteriahaven/decision/serverrate"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
)

// emptyPoisonTable has no news and ignores those of peers.
type emptyPoisonTable struct{}

func (emptyPoisonTable) News(bool) poison.News  { return poison.News{} }
func (emptyPoisonTable) Learn(poison.News) bool { return false }

// discardingLedger returns no loads or usages and ignores reports.
type discardingLedger struct{}

func (discardingLedger) Loads() []ServerLoad                 { return nil }
func (discardingLedger) Report(string, []ServerLoad)         {}
func (discardingLedger) Usages() []ServiceUsage              { return nil }
func (discardingLedger) ReportUsages(string, []ServiceUsage) {}
func (discardingLedger) Rates() []ServiceRate                { return nil }
func (discardingLedger) ReportRates(string, []ServiceRate)   {}
func (discardingLedger) Rejections() ([]rejections.ServiceLimit, []rejections.ServerRejections) {
	return nil, nil
}
func (discardingLedger) Speeds() []load.Share                                                  { return nil }
func (discardingLedger) ReportSpeeds([]load.Share) int                                         { return 0 }
func (discardingLedger) CentreStatements() []overflow.Statement                                { return nil }
func (discardingLedger) ReportCentre(string, string, []overflow.Statement) int                 { return 0 }
func (discardingLedger) ReportRejections(string, []rejections.ServiceLimit, []RejectionReport) {}
func (discardingLedger) Waiting() []ServiceWaiting                                             { return nil }
func (discardingLedger) ReportWaiting(string, []ServiceWaiting)                                {}
func (discardingLedger) RequestRates() []serverrate.Statement                                  { return nil }
func (discardingLedger) ReportRequestRates([]serverrate.Statement)                             {}
func (discardingLedger) ReportFailure(FailedServer)                                            {}
func (discardingLedger) Expire(time.Duration)                                                  {}

// newService returns a service that neither listens nor runs.
func newService(address netip.AddrPort) *Service {
	state, servers := discovery.NewState(), directory.New()
	follower := discovery.NewFollower(nil, state, servers, func() discovery.RelayRole { return discovery.Passive }, func() {}, zerolog.Nop())
	return New(Options{
		Instance: "instance-1", DataCentre: "a", Address: address, State: state, Directory: servers,
		Follower: follower, Ledger: discardingLedger{}, Poison: emptyPoisonTable{}, Logger: zerolog.Nop(),
	})
}

// TestProbesAreAnsweredDuringListen guards against a datagram being handled
// before Listen has stored the transport: a restarted instance gets probes from all
// peers while it opens its socket.
func TestProbesAreAnsweredDuringListen(t *testing.T) {
	is := is.New(t)
	probe := Encode(&Digest{Instance: "instance-2", DataCentre: "a", Incarnation: 1, Probe: true})
	for range 30 {
		// The service replies to its own port, so it listens on the prober's port.
		prober, err := net.ListenPacket("udp4", "127.0.0.2:0")
		is.NoErr(err)
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), netip.MustParseAddrPort(prober.LocalAddr().String()).Port())
		service := newService(address)
		listened, done := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			// The service may not listen yet, so probes are sent repeatedly, also for a while after it does.
			var end time.Time
			for listening := listened; end.IsZero() || time.Now().Before(end); {
				_, _ = prober.WriteTo(probe, net.UDPAddrFromAddrPort(address))
				select {
				case <-listening:
					listening, end = nil, time.Now().Add(40*time.Millisecond)
				default:
				}
			}
		}()
		is.NoErr(service.Listen())
		close(listened)
		<-done
		is.NoErr(prober.SetReadDeadline(time.Now().Add(2 * time.Second)))
		_, _, err = prober.ReadFrom(make([]byte, 2048))
		is.NoErr(err)
		is.NoErr(service.transport.Close())
		is.NoErr(prober.Close())
	}
}
