package configuration

import (
	"context"
	"sync/atomic"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/peer/peerpb"
)

// replyCounters counts the replies to peers and the bytes of their compressed chunks.
type replyCounters struct {
	whole      atomic.Uint64
	difference atomic.Uint64
	bytes      atomic.Uint64
}

// Reply returns the chunks that another instance lacks, given its revision. Before the first
// revision it returns ConfigurationUnset.
func (f *Follower) Reply(_ context.Context, request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	inForce := f.inForce.Load()
	if inForce == nil {
		return nil, fault.New(fault.ConfigurationUnset, "this instance has no configuration yet")
	}
	if request.GetRevision() >= inForce.revision {
		return &peerpb.ConfigurationReply{Revision: inForce.revision}, nil
	}
	f.mu.Lock()
	peerChunks := f.history.chunks[request.GetRevision()]
	f.mu.Unlock()
	reply, err := NewReply(inForce, peerChunks)
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
