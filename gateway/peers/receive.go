package peers

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/transport/datagram"
)

// receive handles one datagram. An unexpected error ends its handling only.
func (s *Service) receive(by *datagram.Transport, payload []byte, from netip.AddrPort) {
	s.options.Guard.Run("message", func() { s.handleDigest(by, payload, from) })
}

// handleDigest handles one datagram. It uses the given transport for replies, because a
// datagram may arrive before Listen has stored the transport.
func (s *Service) handleDigest(by transport, payload []byte, from netip.AddrPort) {
	digest, err := Decode(payload)
	if err != nil {
		event.Log(s.options.Logger, event.PeerDigestInvalid).Str("from", from.String()).Err(err).Send()
		return
	}
	if digest.KeysRequired {
		s.options.State.RequireKeys()
	}
	now, address := time.Now(), from.Addr().Unmap()
	s.recordStore(now, digest)
	recorded, answer, wanted := s.record(now, address, digest)
	if wanted {
		select {
		case s.wake <- struct{}{}:
		default:
			// RunFetch has a pending signal already.
		}
	}
	if answer != nil {
		s.sendBy(by, address, answer)
	}
	if answer := s.answerWanted(digest); answer != nil {
		s.sendBy(by, address, answer)
	}
	s.learnPoison(now, &digest.Poison)
	if len(digest.StreamRecords) > 0 {
		s.options.StreamVersions.Learn(digest.StreamRecords)
	}
	if !recorded {
		return
	}
	s.options.Rollouts.Learn(digest.Instance+"/"+strconv.FormatUint(digest.Incarnation, 36), digest.Rollouts)
	if digest.HasLoads {
		s.options.Ledger.Report(digest.Instance, digest.Loads)
		if digest.DataCentre == s.options.DataCentre {
			s.options.Ledger.ReportWaiting(digest.Instance, digest.Waiting)
		}
	}
	if len(digest.Usages) > 0 && digest.DataCentre == s.options.DataCentre {
		s.options.Ledger.ReportUsages(digest.Instance, digest.Usages)
	}
	if len(digest.RejectionLimits)+len(digest.Rejections) > 0 {
		s.options.Ledger.ReportRejections(digest.Instance, digest.RejectionLimits, digest.Rejections)
	}
	s.reportRequestRates(now, digest)
	if len(digest.Rates) > 0 {
		s.options.Ledger.ReportRates(digest.Instance, digest.Rates)
	}
	s.reportSpeeds(digest)
	s.reportCentre(digest)
	s.recordLeaving(digest.LeavingServers)
	for _, failed := range digest.FailedServers {
		s.options.Ledger.ReportFailure(failed)
	}
}

// recordStore records what a digest says about the store, which is unavailable while those that follow it get no answer.
func (s *Service) recordStore(now time.Time, digest *Digest) {
	if !digest.StoreUnavailable && !digest.Relay {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Follower.RecordPeers(now, digest.Relay || s.options.Follower.Following() || s.table.hasRelay(now))
}

// record records a digest in the table. It returns whether it is news of a peer, the datagram that answers a probe, nil for
// none, and whether a peer has newer state.
func (s *Service) record(now time.Time, address netip.Addr, digest *Digest) (recorded bool, answer []byte, wanted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recorded = s.table.Record(now, address, digest)
	if sequence := digest.AnswerTo - s.incarnation; digest.AnswerTo != 0 && sequence <= s.sequence {
		s.table.RecordAnswer(address, sequence)
	}
	s.table.AddCandidates(s.options.Address.Addr(), digest.Members)
	if digest.Probe && digest.Instance != s.options.Instance {
		reply := s.digest()
		reply.Members = sampleAddresses(s.table.Members())
		reply.Poison = reportsOf(now, s.options.Poison.News(true))
		answer = Encode(&reply)
	}
	configuration, servers := s.table.FetchSources(now, s.localState())
	return recorded, answer, configuration != nil || servers != nil
}
