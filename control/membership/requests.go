package membership

import (
	"time"

	decision "github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// SetRevision sets the in-force configuration revision of this instance, which is sent to the
// peers at once.
func (s *Service) SetRevision(revision uint64) {
	s.requests.Offer(decision.SetRevision{Revision: revision})
}

// SetDemand sets this instance's demand for each client account, the largest first.
func (s *Service) SetDemand(demand []decision.Demand) {
	s.requests.Offer(decision.SetDemand{Demand: demand})
}

// SetListed adds the instances of the platform's list as candidates to probe.
func (s *Service) SetListed(peers []settings.Peer) {
	s.requests.Offer(decision.Listed{Peers: peers})
}

// PostNotice posts a notice to all peers, or only to those of this data centre if local is set.
// For a backend server, an instance or a data centre the notice is a drain: the object takes no
// new work until expires. It returns false when the ring is full and the notice was dropped.
func (s *Service) PostNotice(kind decision.NoticeKind, name, reason string, expires time.Time, local bool) bool {
	return s.postNotice(decision.Notice{
		NoticeKey: decision.NoticeKey{Kind: kind, Name: name},
		Expires:   expires,
		Local:     local,
		Reason:    reason,
	})
}

// Quarantine posts the quarantine of a fingerprint to all peers. It returns false when the ring
// is full.
func (s *Service) Quarantine(fingerprint, reason string, expires time.Time) bool {
	return s.PostNotice(decision.NoticeQuarantine, fingerprint, reason, expires, false)
}

// WithdrawNotice withdraws a drain or a quarantine at all instances. The withdrawal is kept
// until expires, the time at which the withdrawn notice would have ended.
func (s *Service) WithdrawNotice(kind decision.NoticeKind, name string, expires time.Time, local bool) bool {
	return s.postNotice(decision.Notice{
		NoticeKey: decision.NoticeKey{Kind: kind, Name: name},
		Expires:   expires,
		Local:     local,
		Withdrawn: true,
	})
}

// Leave marks this instance as leaving: it takes no new work from now on.
func (s *Service) Leave() { s.requests.Offer(decision.Leave{}) }

func (s *Service) postNotice(notice decision.Notice) bool {
	return s.requests.Offer(decision.Post{Notice: notice})
}
