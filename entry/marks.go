package entry

import (
	decision "github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/operator"
)

// markKinds are the kinds of drain and of the notices that carry them.
var markKinds = map[string]decision.NoticeKind{
	estate.DrainBackendServer: decision.NoticeBackendServer,
	estate.DrainInstance:      decision.NoticeInstance,
	estate.DrainDataCentre:    decision.NoticeDataCentre,
}

// markAnnouncer spreads local marks as notices of the data centre.
type markAnnouncer struct{ entry *Entry }

// Announce implements operator.Announcer.
func (a markAnnouncer) Announce(mark dump.LocalDrain) {
	note := operator.FormatNoticeReason(mark)
	if note == "" || a.entry.control == nil {
		return
	}
	a.entry.control.members.PostNotice(markKinds[mark.Drain.Kind], mark.Drain.Name, note, mark.Expires, true)
}

// Withdraw implements operator.Announcer.
func (a markAnnouncer) Withdraw(mark dump.LocalDrain) {
	if operator.FormatNoticeReason(mark) == "" || a.entry.control == nil {
		return
	}
	a.entry.control.members.WithdrawNotice(markKinds[mark.Drain.Kind], mark.Drain.Name, mark.Expires, true)
}

// hearMarks takes over the marks that other instances set.
func (e *Entry) hearMarks(view *decision.Snapshot) {
	for _, notice := range view.Notices {
		mark := dump.LocalDrain{
			Drain:   estate.Drain{Kind: notice.Kind.String(), Name: notice.Name},
			Expires: notice.Expires,
		}
		if notice.Local && operator.ParseNoticeReason(notice.Reason, &mark) {
			_, _ = e.marks.Add(mark)
		}
	}
}
