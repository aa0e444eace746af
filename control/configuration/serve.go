package configuration

import (
	"context"
	"sync/atomic"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/peer/peerpb"
)

// replyCounters count the replies to other instances.
type replyCounters struct {
	whole      atomic.Uint64
	difference atomic.Uint64
	bytes      atomic.Uint64
}

// Reply answers another instance that asks for the configuration. Before the
// first revision it returns ConfigurationUnset.
func (f *Follower) Reply(_ context.Context, request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	held := f.held.Load()
	if held == nil {
		return nil, fault.New(fault.ConfigurationUnset, "this instance holds no configuration yet")
	}
	if request.GetRevision() >= held.revision {
		return &peerpb.ConfigurationReply{Revision: held.revision}, nil
	}
	f.mu.Lock()
	known := f.history.chunks[request.GetRevision()]
	f.mu.Unlock()
	reply, err := NewReply(held, known)
	if err != nil {
		return nil, err
	}
	if reply.GetWhole() {
		f.replies.whole.Add(1)
	} else {
		f.replies.difference.Add(1)
	}
	for _, chunk := range reply.GetChunks() {
		f.replies.bytes.Add(uint64(len(chunk.GetBody())))
	}
	return reply, nil
}
