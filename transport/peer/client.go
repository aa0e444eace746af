package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/peer/peerpb"
	"github.com/wisteriahaven/wisteriahaven/transport/peerauth"
)

// Bounds of the client.
const (
	dialTimeout    = time.Second
	callTimeout    = 5 * time.Second
	idleTimeout    = 30 * time.Second
	idlePerAddress = 2
)

// Client calls other instances. Connections are kept for a while and used
// again. It is safe for concurrent use.
type Client struct {
	ring     *peerauth.KeyRing
	mu       sync.Mutex
	idle     map[string][]*idleConn
	closed   bool
	calls    atomic.Uint64
	failed   atomic.Uint64
	dials    atomic.Uint64
	bytesIn  atomic.Uint64
	bytesOut atomic.Uint64
}

// idleConn is a connection without a call.
type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// ClientStatus is the state of a client for the dump.
type ClientStatus struct {
	Calls         uint64 `json:"calls"`
	Failed        uint64 `json:"failed"`
	Dials         uint64 `json:"dials"`
	BytesReceived uint64 `json:"bytes_received"`
	BytesSent     uint64 `json:"bytes_sent"`
}

// NewClient returns a client without connections.
func NewClient(ring *peerauth.KeyRing) *Client {
	return &Client{ring: ring, idle: make(map[string][]*idleConn)}
}

// Status returns the current state.
func (c *Client) Status() ClientStatus {
	return ClientStatus{
		Calls:         c.calls.Load(),
		Failed:        c.failed.Load(),
		Dials:         c.dials.Load(),
		BytesReceived: c.bytesIn.Load(),
		BytesSent:     c.bytesOut.Load(),
	}
}

// Configuration asks the peer at an address for what differs from a revision.
// Errors: ConfigurationUnset when it has none, PeerUnreachable, PeerMessage.
func (c *Client) Configuration(ctx context.Context, address string, revision uint64) (*peerpb.ConfigurationReply, error) {
	var reply *peerpb.ConfigurationReply
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (err error) {
		reply, err = peer.Configuration(ctx, &peerpb.ConfigurationRequest{Revision: revision})
		return err
	})
	return reply, err
}

// Members returns the instances that the peer knows, for gossip.DecodeRecords.
func (c *Client) Members(ctx context.Context, address string) ([]byte, error) {
	var reply *peerpb.MembersReply
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (err error) {
		reply, err = peer.Members(ctx, &peerpb.MembersRequest{})
		return err
	})
	return reply.GetRecords(), err
}

// CommitClaims sends a batch of claims to the home of their shard. After
// PeerUnreachable the batch may have been committed.
func (c *Client) CommitClaims(ctx context.Context, address string, shard uint32, payload []byte) ([]byte, error) {
	var reply *peerpb.ClaimsReply
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (err error) {
		reply, err = peer.CommitClaims(ctx, &peerpb.ClaimsRequest{Shard: shard, Payload: payload})
		return err
	})
	return reply.GetPayload(), err
}

// Limits sends this instance's reports about the limits of client accounts.
func (c *Client) Limits(ctx context.Context, address string, request *peerpb.LimitsRequest) error {
	return c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) error {
		_, err := peer.Limits(ctx, request)
		return err
	})
}

// Suspicions sends a digest of killing requests and returns the peer's own.
func (c *Client) Suspicions(ctx context.Context, address string, digest []byte) ([]byte, error) {
	var reply *peerpb.SuspicionsMessage
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (err error) {
		reply, err = peer.Suspicions(ctx, &peerpb.SuspicionsMessage{Json: digest})
		return err
	})
	return reply.GetJson(), err
}

// Dump returns the state of the peer as JSON.
func (c *Client) Dump(ctx context.Context, address string) ([]byte, error) {
	var reply *peerpb.DumpReply
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (err error) {
		reply, err = peer.Dump(ctx, &peerpb.DumpRequest{})
		return err
	})
	return reply.GetJson(), err
}

// Explain returns the peer's decisions about a subject as JSON.
func (c *Client) Explain(ctx context.Context, address, subject string) ([]byte, error) {
	var reply *peerpb.ExplainReply
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (err error) {
		reply, err = peer.Explain(ctx, &peerpb.ExplainRequest{Subject: subject})
		return err
	})
	return reply.GetJson(), err
}

// call runs one call on a connection of its own. A connection whose call
// failed without an answer is closed.
func (c *Client) call(ctx context.Context, address string, run func(context.Context, peerpb.DRPCPeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.calls.Add(1)
	conn, err := c.take(ctx, address)
	if err != nil {
		c.failed.Add(1)
		return err
	}
	err = decoded(run(ctx, peerpb.NewDRPCPeerClient(conn)))
	if err != nil {
		c.failed.Add(1)
	}
	if fault.HasCode(err, fault.PeerUnreachable) {
		_ = conn.Close()
		return err
	}
	c.give(address, conn)
	return err
}

// take returns a connection that is open, or opens one.
func (c *Client) take(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if conn := c.takeIdle(address); conn != nil {
		return conn, nil
	}
	c.dials.Add(1)
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.PeerUnreachable, "peer", "connect to "+address, err)
	}
	proven, err := proveClient(&countingConn{Conn: raw, client: c}, c.ring)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return drpcconn.New(proven), nil
}

func (c *Client) takeIdle(address string) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for held := c.idle[address]; len(held) > 0; held = c.idle[address] {
		last := held[len(held)-1]
		c.idle[address] = held[:len(held)-1]
		select {
		case <-last.conn.Closed():
			continue
		default:
		}
		if time.Since(last.since) < idleTimeout {
			return last.conn
		}
		_ = last.conn.Close()
	}
	delete(c.idle, address)
	return nil
}

// give keeps a connection for the next call.
func (c *Client) give(address string, conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[address]) >= idlePerAddress {
		_ = conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], &idleConn{conn: conn, since: time.Now()})
}

// CloseIdle closes connections that were not used for a while.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, held := range c.idle {
		var kept []*idleConn
		for _, item := range held {
			if time.Since(item.since) < idleTimeout {
				kept = append(kept, item)
			} else {
				_ = item.conn.Close()
			}
		}
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}

// Close closes every idle connection; later ones are not kept.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, held := range c.idle {
		for _, item := range held {
			_ = item.conn.Close()
		}
	}
	clear(c.idle)
}
