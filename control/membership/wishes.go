package membership

import (
	"time"

	decision "github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// SetRevision states the configuration revision in force here; the others are
// told at once.
func (s *Service) SetRevision(revision uint64) {
	s.wishes.Offer(decision.SetRevision{Revision: revision})
}

// SetDemand states what this instance wants to send for each client account,
// the largest first.
func (s *Service) SetDemand(demand []decision.Demand) {
	s.wishes.Offer(decision.SetDemand{Demand: demand})
}

// SetListed proposes the instances of the platform's list.
func (s *Service) SetListed(peers []settings.Peer) {
	s.wishes.Offer(decision.Listed{Peers: peers})
}

// MarkLeaving tells the others that a backend server, an instance or a data
// centre takes no new work until the mark expires. A local mark stays in this
// data centre. It returns false when the duty is behind and the mark was not
// taken.
func (s *Service) PostNotice(kind decision.NoticeKind, name, reason string, expires time.Time, local bool) bool {
	return s.post(decision.Notice{
		NoticeKey: decision.NoticeKey{Kind: kind, Name: name},
		Expires:   expires,
		Local:     local,
		Reason:    reason,
	})
}

// Quarantine tells the others of a quarantined fingerprint.
func (s *Service) Quarantine(fingerprint, reason string, expires time.Time) bool {
	return s.PostNotice(decision.NoticeQuarantine, fingerprint, reason, expires, false)
}

// Withdraw ends a mark or quarantine everywhere. The withdrawal is kept until
// the expiry of what it ends.
func (s *Service) WithdrawNotice(kind decision.NoticeKind, name string, expires time.Time, local bool) bool {
	return s.post(decision.Notice{
		NoticeKey: decision.NoticeKey{Kind: kind, Name: name},
		Expires:   expires,
		Local:     local,
		Withdrawn: true,
	})
}

// Leave says that this instance takes no new work.
func (s *Service) Leave() { s.wishes.Offer(decision.Leave{}) }

func (s *Service) post(notice decision.Notice) bool {
	return s.wishes.Offer(decision.Post{Notice: notice})
}
