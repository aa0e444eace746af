package peers

import (
	"net/netip"
	"time"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/transport/datagram"
)

// receive takes one datagram, which may come before Listen returned.
func (s *Service) receive(transport *datagram.Transport, payload []byte, from netip.AddrPort) {
	digest, err := Decode(payload)
	if err != nil {
		event.Log(s.options.Logger, event.PeerDigestInvalid).Str("from", from.String()).Err(err).Send()
		return
	}
	now, address := time.Now(), from.Addr().Unmap()
	s.mu.Lock()
	fresh := s.table.Record(now, address, digest)
	s.table.AddCandidates(s.options.Address.Addr(), digest.Members)
	var answer []byte
	if digest.Probe && digest.Instance != s.options.Instance {
		reply := s.digest()
		reply.Members = someAddresses(s.table.Members())
		answer = Encode(&reply)
	}
	configuration, servers := s.table.FetchSources(now, s.own())
	s.mu.Unlock()
	if configuration != nil || servers != nil {
		select {
		case s.wake <- struct{}{}:
		default:
			// It was signalled already.
		}
	}
	if answer != nil {
		s.sendBy(transport, address, answer)
	}
	if !fresh {
		return
	}
	if digest.HasLoads {
		s.options.Ledger.Report(digest.Instance, digest.Loads)
	}
	if len(digest.Usages) > 0 && digest.DataCentre == s.options.DataCentre {
		s.options.Ledger.ReportUsages(digest.Instance, digest.Usages)
	}
	for _, lost := range digest.FailedServers {
		s.options.Ledger.ReportFailure(lost)
	}
}
