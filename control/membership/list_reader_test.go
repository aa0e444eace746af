package membership_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/control/membership"
	decision "github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
)

// instanceList is a platform's list in memory.
type instanceList struct {
	mu        sync.Mutex
	instances []objectstore.Instance
}

func (l *instanceList) List(context.Context) ([]objectstore.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instances, nil
}

func (l *instanceList) set(instances ...objectstore.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = instances
}

func TestListJoinsInstancesAndMarksLeavingServers(t *testing.T) {
	is := is.New(t)
	shared := codec(t, "11")
	first := startInstance(t, "entry-0", shared, nil)
	second := startInstance(t, "entry-1", shared, nil) // no seed: only the list joins them
	list := &instanceList{}
	server := objectstore.Instance{Name: "engine-1", DataCentre: "a", State: objectstore.InstanceLeaving, Role: "backend-server"}
	list.set(objectstore.Instance{Name: "entry-0", DataCentre: "a", Address: first.Address(), Role: "entry", State: objectstore.InstanceLive}, server)

	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { membership.NewListReader(second.Service, list, zerolog.Nop()).Run(ctx) })
	wait.Go(func() { membership.NewListReader(first.Service, list, zerolog.Nop()).Run(ctx) })
	defer wait.Wait()
	defer cancel()
	marked := func() bool {
		return first.View().HasNotice(decision.NoticeBackendServer, "engine-1", time.Now())
	}
	await(t, "the instances find each other", func() bool { return allLive([]instance{first, second}, 2) })
	await(t, "the leaving server is marked", marked)

	is.True(first.PostNotice(decision.NoticeBackendServer, "engine-2", "operator", time.Now().Add(time.Hour), true))
	server.State = objectstore.InstanceLive
	other := server
	other.Name = "engine-2"
	list.set(server, other)
	await(t, "the mark of the list is withdrawn", func() bool { return !marked() })
	is.True(first.View().HasNotice(decision.NoticeBackendServer, "engine-2", time.Now())) // an operator's mark stays
}
