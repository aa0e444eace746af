package peer

import (
	"bufio"
	"crypto/rand"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/peer/peerpb"
	"github.com/wisteriahaven/wisteriahaven/transport/peerauth"
)

// Bounds of the handshake.
const (
	handshakeTimeout = 2 * time.Second
	nonceBytes       = 16
	maxProofBytes    = 512
)

// The ends of a connection in what they sign.
const (
	roleClient = "client"
	roleServer = "server"
)

// provenConn is a connection after its handshake; bytes read ahead stay in the
// reader.
type provenConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *provenConn) Read(buffer []byte) (int, error) { return c.reader.Read(buffer) }

// proveClient runs the client's end of the handshake.
func proveClient(conn net.Conn, ring *peerauth.KeyRing) (*provenConn, error) {
	proven := &provenConn{Conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	own := newNonce()
	if err := write(proven, &peerpb.Hello{Nonce: own}); err != nil {
		return nil, err
	}
	var server peerpb.Proof
	if err := read(proven, &server); err != nil {
		return nil, err
	}
	if err := ring.Verify(server.GetKeyId(), signed(roleServer, own, server.GetNonce()), server.GetAuthenticator()); err != nil {
		return nil, err
	}
	keyID, authenticator := ring.Sign(signed(roleClient, own, server.GetNonce()))
	if err := write(proven, &peerpb.Proof{KeyId: keyID, Authenticator: authenticator}); err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return proven, nil
}

// proveServer runs the server's end of the handshake.
func proveServer(conn net.Conn, ring *peerauth.KeyRing) (*provenConn, error) {
	proven := &provenConn{Conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	var hello peerpb.Hello
	if err := read(proven, &hello); err != nil {
		return nil, err
	}
	if len(hello.GetNonce()) != nonceBytes {
		return nil, fault.New(fault.PeerMessage, "the nonce has a wrong length")
	}
	own := newNonce()
	keyID, authenticator := ring.Sign(signed(roleServer, hello.GetNonce(), own))
	if err := write(proven, &peerpb.Proof{KeyId: keyID, Nonce: own, Authenticator: authenticator}); err != nil {
		return nil, err
	}
	var client peerpb.Proof
	if err := read(proven, &client); err != nil {
		return nil, err
	}
	if err := ring.Verify(client.GetKeyId(), signed(roleClient, hello.GetNonce(), own), client.GetAuthenticator()); err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return proven, nil
}

// signed returns what an end signs.
func signed(role string, clientNonce, serverNonce []byte) []byte {
	return slices.Concat([]byte(role), clientNonce, serverNonce)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

func write(conn net.Conn, message proto.Message) error {
	if _, err := protodelim.MarshalTo(conn, message); err != nil {
		return fault.Wrap(fault.PeerUnreachable, "peer", "handshake", err)
	}
	return nil
}

func read(conn *provenConn, message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxProofBytes}
	if err := options.UnmarshalFrom(conn.reader, message); err != nil {
		return fault.Wrap(fault.PeerMessage, "peer", "handshake", err)
	}
	return nil
}
