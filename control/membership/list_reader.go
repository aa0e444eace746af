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

// How the platform's instance list is read.
const (
	listReaderKey = "list-reader/"
	listReaders   = 2
	// ListPeriod is the time between two reads of one reader.
	ListPeriod = time.Second
	// listMarkLifetime is how long a leaving mark from the list holds; it is
	// renewed while the list shows the server as leaving.
	listMarkLifetime = 5 * time.Minute
	// listReason tells marks from the list from others.
	listReason = "instance list"
	roleEntry  = "entry"
)

// InstanceList reads the platform's instance list.
type InstanceList interface {
	List(ctx context.Context) ([]objectstore.Instance, error)
}

// ListReader is the duty that reads the platform's instance list. Only a few
// instances of a data centre read it; the others learn from digests.
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
		if r.reads() {
			r.read(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reads reports whether this instance is one of the readers.
func (r *ListReader) reads() bool {
	view := r.service.View()
	centre := view.Self.Peer.DataCentre
	readers := rendezvous.Top(listReaderKey+centre, view.Live(centre), listReaders)
	return slices.Contains(readers, view.Self.Peer.Instance)
}

// read proposes the listed instances and marks the leaving servers of this
// data centre.
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
			r.markLeaving(instance.Name)
		case instance.DataCentre == own.DataCentre:
			r.withdraw(instance.Name)
		}
	}
	r.service.SetListed(peers)
}

// markLeaving posts or renews the mark of a listed server. A mark is renewed in
// its second half only, so that it is not news every time.
func (r *ListReader) markLeaving(name string) {
	now := time.Now()
	if r.service.View().HasNotice(decision.NoticeBackendServer, name, now.Add(listMarkLifetime/2)) {
		return
	}
	r.service.PostNotice(decision.NoticeBackendServer, name, listReason, now.Add(listMarkLifetime), false)
}

// withdraw ends a mark that came from the list, once the list shows the server
// as live again. Marks of operators and servers stay.
func (r *ListReader) withdraw(name string) {
	notice, marked := r.service.View().Notice(decision.NoticeBackendServer, name)
	if marked && notice.Reason == listReason {
		r.service.WithdrawNotice(decision.NoticeBackendServer, name, notice.Expires, notice.Local)
	}
}
