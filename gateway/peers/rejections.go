package peers

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/wisteriahaven/wisteriahaven/decision/rejections"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

const (
	// maxRejectionPeers is the maximum number of peers that get a rejection at once: those with the lowest ranks at the
	// server, which may send it requests.
	maxRejectionPeers = 16
	// rejectionQueueCapacity is the maximum number of servers whose rejections wait for a digest.
	rejectionQueueCapacity = 64
	// maxRejectionAges bounds the decoded rejections of one server.
	maxRejectionAges = 16
	// remoteDiscount is the divisor of the part of its weight that an instance loses at servers of other data centres.
	remoteDiscount = 8
)

// RejectionReport holds the ages of the latest rejections by a server, oldest first.
type RejectionReport struct {
	Server string
	Ages   []time.Duration
}

// Times returns the rejections' times by the local clock.
func (r *RejectionReport) Times(now time.Time) []time.Time {
	times := make([]time.Time, len(r.Ages))
	for i, age := range r.Ages {
		times[i] = now.Add(-age)
	}
	return times
}

// rejectionReports returns rejections with ages.
func rejectionReports(now time.Time, all []rejections.ServerRejections) []RejectionReport {
	var reports []RejectionReport
	for _, server := range all {
		report := RejectionReport{Server: server.Server}
		for _, at := range server.Times {
			report.Ages = append(report.Ages, now.Sub(at).Truncate(time.Millisecond))
		}
		reports = append(reports, report)
	}
	return reports
}

// SharesAt returns the shares of this instance at servers, by server. All instances that know the same peers compute ranks
// that fit together; most servers have instances of their own data centre at the lowest ranks.
func (s *Service) SharesAt(servers []*directory.Server) map[string]rejections.Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	shares := make(map[string]rejections.Share, len(servers))
	own := rendezvous.DigestOf(s.options.Instance)
	for _, server := range servers {
		digest, share := rendezvous.DigestOf(server.ID), rejections.Share{Instances: 1}
		ownWeight := instanceWeight(digest, own, server.DataCentre == s.options.DataCentre)
		for _, p := range s.table.peers {
			if p.leaving {
				continue
			}
			share.Instances++
			if weight := instanceWeight(digest, p.nameDigest, server.DataCentre == p.dataCentre); weight > ownWeight {
				share.Rank++
			}
		}
		shares[server.ID] = share
	}
	return shares
}

// instanceWeight returns the weight of an instance at a server.
func instanceWeight(server, instance rendezvous.Digest, local bool) uint64 {
	weight := server.Weight(instance)
	if !local {
		weight -= weight / remoteDiscount
	}
	return weight
}

// AnnounceRejection makes the peers that may send requests to a server learn at once that it rejected one. All others learn
// it with the digests of the next seconds. It never blocks.
func (s *Service) AnnounceRejection(server *directory.Server) {
	select {
	case s.rejections <- server:
	default:
		// Enough rejections wait for a digest already.
	}
}

// sendRejections sends a digest to the peers with the lowest ranks at the servers that rejected requests.
func (s *Service) sendRejections(first *directory.Server) {
	servers := []*directory.Server{first}
	for len(s.rejections) > 0 {
		servers = append(servers, <-s.rejections)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := s.digest()
	payload := Encode(&digest)
	for _, p := range s.rejectionReceivers(servers) {
		s.send(p.address, payload)
	}
}

// rejectionReceivers returns the peers with the lowest ranks at any of the servers; mu is held.
func (s *Service) rejectionReceivers(servers []*directory.Server) []*peer {
	slices.SortFunc(servers, func(a, b *directory.Server) int { return cmp.Compare(a.ID, b.ID) })
	servers = slices.CompactFunc(servers, func(a, b *directory.Server) bool { return a.ID == b.ID })
	var receivers []*peer
	for _, server := range servers {
		digest, members := rendezvous.DigestOf(server.ID), s.table.Members()
		slices.SortStableFunc(members, func(a, b *peer) int {
			return cmp.Compare(instanceWeight(digest, b.nameDigest, server.DataCentre == b.dataCentre), instanceWeight(digest, a.nameDigest, server.DataCentre == a.dataCentre))
		})
		for _, p := range members[:min(len(members), maxRejectionPeers)] {
			if !slices.Contains(receivers, p) {
				receivers = append(receivers, p)
			}
		}
	}
	return receivers
}

func encodeLimit(limit *rejections.ServiceLimit) []byte {
	return appendNumber(appendText(nil, tagServer, limit.Service), tagRequests, uint64(max(0, limit.Limit)))
}

func encodeRejections(report *RejectionReport) []byte {
	var ages []byte
	for _, age := range report.Ages {
		ages = protowire.AppendVarint(ages, uint64(max(0, age.Milliseconds())))
	}
	return appendText(appendText(nil, tagServer, report.Server), tagAge, string(ages))
}

func (d *Digest) decodeLimit(part []byte) error {
	var limit rejections.ServiceLimit
	err := eachField(part, func(tag protowire.Number, number uint64, text []byte) error {
		switch tag {
		case tagServer:
			limit.Service = string(text)
		case tagRequests:
			limit.Limit = int(min(number, maxNumber))
		}
		return nil
	})
	if err == nil && limit.Service != "" && limit.Limit > 0 {
		d.RejectionLimits = append(d.RejectionLimits, limit)
	}
	return err
}

func (d *Digest) decodeRejections(part []byte) error {
	var report RejectionReport
	err := eachField(part, func(tag protowire.Number, _ uint64, text []byte) error {
		switch tag {
		case tagServer:
			report.Server = string(text)
		case tagAge:
			for len(text) > 0 && len(report.Ages) < maxRejectionAges {
				age, size := protowire.ConsumeVarint(text)
				if size < 0 {
					return fault.Wrap(fault.PeerMessage, "peers", "decode rejections", protowire.ParseError(size))
				}
				report.Ages = append(report.Ages, time.Duration(min(age, maxNumber))*time.Millisecond)
				text = text[size:]
			}
		}
		return nil
	})
	if err == nil && report.Server != "" && len(report.Ages) > 0 {
		d.Rejections = append(d.Rejections, report)
	}
	return err
}
