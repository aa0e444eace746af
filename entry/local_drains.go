package entry

import (
	decision "github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/operator"
)

// drainNoticeKinds maps the kinds of drain to the kinds of notice that carry them.
var drainNoticeKinds = map[string]decision.NoticeKind{
	estate.DrainBackendServer: decision.NoticeBackendServer,
	estate.DrainInstance:      decision.NoticeInstance,
	estate.DrainDataCentre:    decision.NoticeDataCentre,
}

// localDrainAnnouncer announces local drains to the peers of the data centre as
// notices.
type localDrainAnnouncer struct{ entry *Entry }

// Announce implements operator.Announcer.
func (a localDrainAnnouncer) Announce(mark dump.LocalDrain) {
	note := operator.FormatNoticeReason(mark)
	if note == "" || a.entry.control == nil {
		return
	}
	a.entry.control.members.PostNotice(drainNoticeKinds[mark.Drain.Kind], mark.Drain.Name, note, mark.Expires, true)
}

// Withdraw implements operator.Announcer.
func (a localDrainAnnouncer) Withdraw(mark dump.LocalDrain) {
	if operator.FormatNoticeReason(mark) == "" || a.entry.control == nil {
		return
	}
	a.entry.control.members.WithdrawNotice(drainNoticeKinds[mark.Drain.Kind], mark.Drain.Name, mark.Expires, true)
}

// addLocalDrains adds the local drains in the notices of peers to this instance's.
func (e *Entry) addLocalDrains(view *decision.Snapshot) {
	for _, notice := range view.Notices {
		mark := dump.LocalDrain{
			Drain:   estate.Drain{Kind: notice.Kind.String(), Name: notice.Name},
			Expires: notice.Expires,
		}
		if notice.Local && operator.ParseNoticeReason(notice.Reason, &mark) {
			_, _ = e.localDrains.Add(mark)
		}
	}
}
