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

// Timeouts of the client, and the number of idle connections that it keeps to an address.
const (
	dialTimeout       = time.Second
	callTimeout       = 5 * time.Second
	idleTimeout       = 30 * time.Second
	maxIdlePerAddress = 2
)

// Client calls other instances. It keeps idle connections for idleTimeout and
// reuses them. It is safe for concurrent use.
type Client struct {
	keyRing  *peerauth.KeyRing
	mu       sync.Mutex
	idle     map[string][]*idleConn
	closed   bool
	calls    atomic.Uint64
	failed   atomic.Uint64
	dials    atomic.Uint64
	bytesIn  atomic.Uint64
	bytesOut atomic.Uint64
}

// idleConn is an open connection that no call uses.
type idleConn struct {
	conn      *drpcconn.Conn
	idleSince time.Time
}

// ClientStatus holds the counters of a client for the dump.
type ClientStatus struct {
	Calls         uint64 `json:"calls"`
	Failed        uint64 `json:"failed"`
	Dials         uint64 `json:"dials"`
	BytesReceived uint64 `json:"bytes_received"`
	BytesSent     uint64 `json:"bytes_sent"`
}

// NewClient returns a client without connections.
func NewClient(keyRing *peerauth.KeyRing) *Client {
	return &Client{keyRing: keyRing, idle: make(map[string][]*idleConn)}
}

// Status returns the current counters.
func (c *Client) Status() ClientStatus {
	return ClientStatus{
		Calls:         c.calls.Load(),
		Failed:        c.failed.Load(),
		Dials:         c.dials.Load(),
		BytesReceived: c.bytesIn.Load(),
		BytesSent:     c.bytesOut.Load(),
	}
}

// Configuration returns the differences between a revision and the peer's
// in-force configuration. Errors are ConfigurationUnset if the peer has none,
// PeerUnreachable and PeerMessage.
func (c *Client) Configuration(ctx context.Context, address string, revision uint64) (*peerpb.ConfigurationReply, error) {
	var reply *peerpb.ConfigurationReply
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (err error) {
		reply, err = peer.Configuration(ctx, &peerpb.ConfigurationRequest{Revision: revision})
		return err
	})
	return reply, err
}

// Members returns the members in the peer's membership table, encoded for gossip.DecodeRecords.
func (c *Client) Members(ctx context.Context, address string) ([]byte, error) {
	var reply *peerpb.MembersReply
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (err error) {
		reply, err = peer.Members(ctx, &peerpb.MembersRequest{})
		return err
	})
	return reply.GetRecords(), err
}

// CommitClaims sends a batch of claims to the owner of their shard. After
// PeerUnreachable the batch may have been committed.
func (c *Client) CommitClaims(ctx context.Context, address string, shard uint32, payload []byte) ([]byte, error) {
	var reply *peerpb.ClaimsReply
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (err error) {
		reply, err = peer.CommitClaims(ctx, &peerpb.ClaimsRequest{Shard: shard, Payload: payload})
		return err
	})
	return reply.GetPayload(), err
}

// Limits sends this instance's reports on the limits of client accounts.
func (c *Client) Limits(ctx context.Context, address string, request *peerpb.LimitsRequest) error {
	return c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) error {
		_, err := peer.Limits(ctx, request)
		return err
	})
}

// Suspicions sends a digest of suspected poison requests and returns the peer's digest.
func (c *Client) Suspicions(ctx context.Context, address string, digest []byte) ([]byte, error) {
	var reply *peerpb.SuspicionsMessage
	err := c.call(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (err error) {
		reply, err = peer.Suspicions(ctx, &peerpb.SuspicionsMessage{Json: digest})
		return err
	})
	return reply.GetJson(), err
}

// Dump returns the state of the peer as JSON, for the dump.
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

// call runs one call on a connection that no other call uses at the time. It
// closes the connection if the call failed without a reply of the peer.
func (c *Client) call(ctx context.Context, address string, run func(context.Context, peerpb.DRPCPeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.calls.Add(1)
	conn, err := c.acquire(ctx, address)
	if err != nil {
		c.failed.Add(1)
		return err
	}
	err = decodeError(run(ctx, peerpb.NewDRPCPeerClient(conn)))
	if err != nil {
		c.failed.Add(1)
	}
	if fault.HasCode(err, fault.PeerUnreachable) {
		_ = conn.Close()
		return err
	}
	c.release(address, conn)
	return err
}

// acquire returns an idle connection to the address, or opens and authenticates a new one.
func (c *Client) acquire(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if conn := c.acquireIdle(address); conn != nil {
		return conn, nil
	}
	c.dials.Add(1)
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.PeerUnreachable, "peer", "connect to "+address, err)
	}
	authenticated, err := handshakeAsClient(&countingConn{Conn: raw, client: c}, c.keyRing)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return drpcconn.New(authenticated), nil
}

func (c *Client) acquireIdle(address string) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for idle := c.idle[address]; len(idle) > 0; idle = c.idle[address] {
		last := idle[len(idle)-1]
		c.idle[address] = idle[:len(idle)-1]
		select {
		case <-last.conn.Closed():
			continue
		default:
		}
		if time.Since(last.idleSince) < idleTimeout {
			return last.conn
		}
		_ = last.conn.Close()
	}
	delete(c.idle, address)
	return nil
}

// release keeps a connection for a later call, or closes it if enough are idle.
func (c *Client) release(address string, conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[address]) >= maxIdlePerAddress {
		_ = conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], &idleConn{conn: conn, idleSince: time.Now()})
}

// CloseIdle closes the connections that have been idle for idleTimeout.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, idle := range c.idle {
		var kept []*idleConn
		for _, item := range idle {
			if time.Since(item.idleSince) < idleTimeout {
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

// Close closes every idle connection. Connections of running calls are closed
// when their calls end.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, idle := range c.idle {
		for _, item := range idle {
			_ = item.conn.Close()
		}
	}
	clear(c.idle)
}
