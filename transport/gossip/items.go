package gossip

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/transport/gossip/gossippb"
)

func noticeToProto(notice membership.Notice) *gossippb.Notice {
	return &gossippb.Notice{
		Kind:                    uint32(notice.Kind),
		Name:                    notice.Name,
		Stamp:                   notice.Stamp,
		Origin:                  notice.Origin,
		ExpiresUnixMilliseconds: notice.Expires.UnixMilli(),
		Withdrawn:               notice.Withdrawn,
		Local:                   notice.Local,
		Reason:                  notice.Reason,
	}
}

// noticeFromProto decodes a notice. It replaces an unknown kind by the invalid kind
// zero, which the membership table counts.
func noticeFromProto(message *gossippb.Notice) membership.Notice {
	kind := membership.NoticeKind(0)
	if message.GetKind() <= uint32(membership.NoticeQuarantine) {
		kind = membership.NoticeKind(message.GetKind())
	}
	return membership.Notice{
		NoticeKey: membership.NoticeKey{Kind: kind, Name: message.GetName()},
		Stamp:     message.GetStamp(),
		Origin:    message.GetOrigin(),
		Expires:   time.UnixMilli(message.GetExpiresUnixMilliseconds()).UTC(),
		Withdrawn: message.GetWithdrawn(),
		Local:     message.GetLocal(),
		Reason:    message.GetReason(),
	}
}

func reportToProto(report membership.Report) *gossippb.Report {
	message := &gossippb.Report{
		Source:         report.Source,
		Whole:          report.Summary,
		Epoch:          report.Epoch,
		Version:        report.Version,
		Instances:      report.Instances,
		LowestRevision: report.LowestRevision,
	}
	for _, demand := range report.Demand {
		message.Demand = append(message.Demand, &gossippb.Demand{
			Account:  uint32(demand.Account),
			Requests: demand.Requests,
			Tokens:   demand.Tokens,
		})
	}
	return message
}

func reportFromProto(message *gossippb.Report) membership.Report {
	report := membership.Report{
		Source:         message.GetSource(),
		Summary:        message.GetWhole(),
		Epoch:          message.GetEpoch(),
		Version:        message.GetVersion(),
		Instances:      message.GetInstances(),
		LowestRevision: message.GetLowestRevision(),
	}
	for _, demand := range message.GetDemand() {
		report.Demand = append(report.Demand, membership.Demand{
			Account:  membership.AccountID(demand.GetAccount()),
			Requests: demand.GetRequests(),
			Tokens:   demand.GetTokens(),
		})
	}
	return report
}
