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

// Limits of the handshake.
const (
	handshakeTimeout = 2 * time.Second
	nonceBytes       = 16
	maxProofBytes    = 512
)

// The roles of the two ends in the messages that they sign. They differ, so that
// one end's proof can't be sent back as the other's.
const (
	roleClient = "client"
	roleServer = "server"
)

// bufferedConn is a connection with its handshake's reader, which may hold bytes
// that arrived after the handshake.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *bufferedConn) Read(buffer []byte) (int, error) { return c.reader.Read(buffer) }

// handshakeAsClient runs the client's side of the handshake: it sends a nonce, verifies
// the server's proof and sends its own.
func handshakeAsClient(conn net.Conn, keyRing *peerauth.KeyRing) (*bufferedConn, error) {
	buffered := &bufferedConn{Conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	ownNonce := newNonce()
	if err := writeMessage(buffered, &peerpb.Hello{Nonce: ownNonce}); err != nil {
		return nil, err
	}
	var server peerpb.Proof
	if err := readMessage(buffered, &server); err != nil {
		return nil, err
	}
	if err := keyRing.Verify(server.GetKeyId(), signedMessage(roleServer, ownNonce, server.GetNonce()), server.GetAuthenticator()); err != nil {
		return nil, err
	}
	keyID, authenticator := keyRing.Sign(signedMessage(roleClient, ownNonce, server.GetNonce()))
	if err := writeMessage(buffered, &peerpb.Proof{KeyId: keyID, Authenticator: authenticator}); err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return buffered, nil
}

// handshakeAsServer runs the server's side of the handshake: it receives a nonce, sends
// its proof and verifies the client's.
func handshakeAsServer(conn net.Conn, keyRing *peerauth.KeyRing) (*bufferedConn, error) {
	buffered := &bufferedConn{Conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	var hello peerpb.Hello
	if err := readMessage(buffered, &hello); err != nil {
		return nil, err
	}
	if len(hello.GetNonce()) != nonceBytes {
		return nil, fault.New(fault.PeerMessage, "the nonce has a wrong length")
	}
	ownNonce := newNonce()
	keyID, authenticator := keyRing.Sign(signedMessage(roleServer, hello.GetNonce(), ownNonce))
	if err := writeMessage(buffered, &peerpb.Proof{KeyId: keyID, Nonce: ownNonce, Authenticator: authenticator}); err != nil {
		return nil, err
	}
	var client peerpb.Proof
	if err := readMessage(buffered, &client); err != nil {
		return nil, err
	}
	if err := keyRing.Verify(client.GetKeyId(), signedMessage(roleClient, hello.GetNonce(), ownNonce), client.GetAuthenticator()); err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return buffered, nil
}

// signedMessage returns the message that the end with the role signs.
func signedMessage(role string, clientNonce, serverNonce []byte) []byte {
	return slices.Concat([]byte(role), clientNonce, serverNonce)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

func writeMessage(conn net.Conn, message proto.Message) error {
	if _, err := protodelim.MarshalTo(conn, message); err != nil {
		return fault.Wrap(fault.PeerUnreachable, "peer", "handshake", err)
	}
	return nil
}

func readMessage(conn *bufferedConn, message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxProofBytes}
	if err := options.UnmarshalFrom(conn.reader, message); err != nil {
		return fault.Wrap(fault.PeerMessage, "peer", "handshake", err)
	}
	return nil
}
