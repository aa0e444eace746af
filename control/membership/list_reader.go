package membership

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	decision "github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Parameters of the list readers.
const (
	listReaderKey = "list-reader/"
	listReaders   = 2
	// ListPeriod is the time between two reads of one reader.
	ListPeriod = time.Second
	// listDrainLifetime is the time until a drain from the list expires. It is renewed while the
	// list shows the server as leaving.
	listDrainLifetime = 5 * time.Minute
	// listReason distinguishes drains that come from the list.
	listReason = "instance list"
	roleEntry  = "entry"
)

// InstanceList reads the platform's instance list.
type InstanceList interface {
	List(ctx context.Context) ([]objectstore.Instance, error)
}

// ListReader is the duty that reads the platform's instance list. Only listReaders instances of
// a data centre read it; the others receive its content in digests.
type ListReader struct {
	service *Service
	list    InstanceList
	logger  zerolog.Logger
}

// NewListReader returns the duty for a service.
func NewListReader(service *Service, list InstanceList, logger zerolog.Logger) *ListReader {
	return &ListReader{service: service, list: list, logger: logger}
}

// Run reads the list until the context ends.
func (r *ListReader) Run(ctx context.Context) {
	ticker := time.NewTicker(ListPeriod)
	defer ticker.Stop()
	for {
		if r.isReader() {
			r.read(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// isReader reports whether this instance is one of its data centre's readers.
func (r *ListReader) isReader() bool {
	view := r.service.View()
	centre := view.Self.Peer.DataCentre
	readers := rendezvous.Top(listReaderKey+centre, view.Live(centre), listReaders)
	return slices.Contains(readers, view.Self.Peer.Instance)
}

// read adds the listed entry instances to the membership and posts or withdraws the drains of
// this data centre's servers.
func (r *ListReader) read(ctx context.Context) {
	listed, err := r.list.List(ctx)
	if err != nil {
		event.Log(r.logger, event.InstanceListFailed).Err(err).Send()
		return
	}
	own := r.service.View().Self.Peer
	var peers []settings.Peer
	for _, instance := range listed {
		switch {
		case instance.Role == roleEntry:
			peers = append(peers, settings.Peer{
				Instance:   instance.Name,
				DataCentre: instance.DataCentre,
				Gossip:     instance.Address,
			})
		case instance.State == objectstore.InstanceLeaving && instance.DataCentre == own.DataCentre:
			r.drain(instance.Name)
		case instance.DataCentre == own.DataCentre:
			r.withdrawDrain(instance.Name)
		}
	}
	r.service.SetListed(peers)
}

// drain posts or renews the drain of a server that the list shows as leaving. A drain is renewed
// only in the second half of its lifetime, so that not every read causes an update to all peers.
func (r *ListReader) drain(name string) {
	now := time.Now()
	if r.service.View().HasNotice(decision.NoticeBackendServer, name, now.Add(listDrainLifetime/2)) {
		return
	}
	r.service.PostNotice(decision.NoticeBackendServer, name, listReason, now.Add(listDrainLifetime), false)
}

// withdrawDrain withdraws a drain that came from the list once the list shows the server as live
// again. Drains that operators or servers requested stay.
func (r *ListReader) withdrawDrain(name string) {
	notice, posted := r.service.View().Notice(decision.NoticeBackendServer, name)
	if posted && notice.Reason == listReason {
		r.service.WithdrawNotice(decision.NoticeBackendServer, name, notice.Expires, notice.Local)
	}
}
