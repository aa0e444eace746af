package operator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
	"github.com/wisteriahaven/wisteriahaven/operatorclient"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

const (
	// peerTimeout bounds one call to another instance.
	peerTimeout = 2 * time.Second
	// peersAtATime bounds the calls to other instances in flight.
	peersAtATime = 32
)

// HTTPPeers implements Peers by the operator listeners of the instances, with
// the operator's own token.
type HTTPPeers struct {
	self      Instance
	peers     func() []settings.Peer
	transport *fasthttp.Client
}

// NewHTTPPeers returns the peers of an instance: its own state, and the other
// instances as known now.
func NewHTTPPeers(self Instance, peers func() []settings.Peer) *HTTPPeers {
	return &HTTPPeers{self: self, peers: peers, transport: operatorclient.NewTransport()}
}

// Dumps implements Peers.
func (p *HTTPPeers) Dumps(ctx context.Context, token string, decisions int) dump.Estate {
	return p.gather(ctx, token, p.self.Dump(decisions), func(ctx context.Context, client *operatorclient.Client) (dump.Instance, error) {
		return client.Dump(ctx, decisions)
	})
}

// About implements Peers.
func (p *HTTPPeers) DumpsAbout(ctx context.Context, token, name string) dump.Estate {
	return p.gather(ctx, token, p.self.DumpAbout(name), func(ctx context.Context, client *operatorclient.Client) (dump.Instance, error) {
		return client.DumpAbout(ctx, name)
	})
}

// gather asks every peer for its state.
func (p *HTTPPeers) gather(ctx context.Context, token string, self dump.Instance, ask func(context.Context, *operatorclient.Client) (dump.Instance, error)) dump.Estate {
	type answer struct {
		state dump.Instance
		err   error
	}
	peers := p.peers()
	answers := each(ctx, p.transport, peers, token, func(ctx context.Context, client *operatorclient.Client) answer {
		state, err := ask(ctx, client)
		return answer{state, err}
	})
	states := dump.Estate{Instances: []dump.Instance{self}}
	for i, answer := range answers {
		if answer.err != nil {
			states.Missing = append(states.Missing, dump.Missing{Instance: peers[i].Instance, DataCentre: peers[i].DataCentre, Reason: reason(answer.err)})
			continue
		}
		states.Instances = append(states.Instances, answer.state)
	}
	return states
}

// Revisions implements Peers.
func (p *HTTPPeers) Revisions(ctx context.Context, token string) []operatorapi.InstanceRevision {
	self := p.self.Dump(0)
	peers := p.peers()
	answers := each(ctx, p.transport, peers, token, func(ctx context.Context, client *operatorclient.Client) operatorapi.InstanceRevision {
		revision, err := client.Revision(ctx)
		if err != nil {
			revision.Unreachable = reason(err)
		}
		return revision
	})
	revisions := []operatorapi.InstanceRevision{{Instance: self.Instance, DataCentre: self.DataCentre, Revision: self.Revision}}
	for i, revision := range answers {
		revision.Instance, revision.DataCentre = peers[i].Instance, peers[i].DataCentre
		revisions = append(revisions, revision)
	}
	return revisions
}

// Dump implements Peers.
func (p *HTTPPeers) Dump(ctx context.Context, token, instance string) (dump.Instance, error) {
	for _, peer := range p.peers() {
		if peer.Instance != instance {
			continue
		}
		client := operatorclient.NewWithTransport(p.transport, peer.Operators, token)
		bounded, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		return client.Dump(bounded, operatorapi.DefaultDecisions)
	}
	return dump.Instance{}, fault.New(fault.NotFound, "no instance is named \""+instance+"\"")
}

// Command implements Peers.
func (p *HTTPPeers) Command(ctx context.Context, token, dataCentre string, request operatorapi.Request) (taken int, pending []operatorapi.InstanceRevision) {
	peers := p.peers()
	if dataCentre != "" {
		peers = slices.DeleteFunc(slices.Clone(peers), func(peer settings.Peer) bool { return peer.DataCentre != dataCentre })
	}
	answers := each(ctx, p.transport, peers, token, func(ctx context.Context, client *operatorclient.Client) error {
		response, err := client.Execute(ctx, request)
		if err == nil {
			err = response.Err()
		}
		return err
	})
	for i, err := range answers {
		switch {
		case err == nil:
			taken++
		case !fault.HasCode(err, fault.NotFound):
			pending = append(pending, operatorapi.InstanceRevision{Instance: peers[i].Instance, DataCentre: peers[i].DataCentre, Unreachable: reason(err)})
		}
	}
	return taken, pending
}

// each asks every peer, a bounded number at a time.
func each[T any](ctx context.Context, transport *fasthttp.Client, peers []settings.Peer, token string, ask func(context.Context, *operatorclient.Client) T) []T {
	answers := make([]T, len(peers))
	slots := make(chan struct{}, peersAtATime)
	var wait sync.WaitGroup
	for i, peer := range peers {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			client := operatorclient.NewWithTransport(transport, peer.Operators, token)
			bounded, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			answers[i] = ask(bounded, client)
		})
	}
	wait.Wait()
	return answers
}

// reason is the short text of a peer's failure.
func reason(err error) string {
	typed := fault.From(err)
	return string(typed.Code) + ": " + typed.Reason
}
