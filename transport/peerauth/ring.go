// Package peerauth authenticates what instances tell each other, with the peer
// keys of the settings.
package peerauth

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Bytes is the length of an authenticator: the first half of HMAC-SHA-256.
const AuthenticatorBytes = 16

// Ring signs with its active key and verifies with all of its keys, so that
// keys rotate without a stop. It is safe for concurrent use.
type KeyRing struct {
	active string
	keys   map[string][]byte
}

// NewRing returns the ring of the settings.
func NewKeyRing(keys settings.KeyRing) (*KeyRing, error) {
	ring := &KeyRing{active: keys.Active, keys: make(map[string][]byte, len(keys.Keys))}
	for _, key := range keys.Keys {
		secret, err := hex.DecodeString(key.Secret)
		if err != nil {
			return nil, fault.Wrap(fault.SettingsInvalid, "peerauth", "keys.peer: secret of "+key.ID, err)
		}
		ring.keys[key.ID] = secret
	}
	if _, ok := ring.keys[ring.active]; !ok {
		return nil, fault.New(fault.SettingsInvalid, "keys.peer: the active key is not in the ring")
	}
	return ring, nil
}

// Sign returns the id of the active key and the authenticator of the message.
func (r *KeyRing) Sign(message []byte) (keyID string, authenticator []byte) {
	return r.active, authenticate(r.keys[r.active], r.active, message)
}

// Verify reports whether the authenticator belongs to the message. An unknown
// key is an error like a wrong authenticator.
func (r *KeyRing) Verify(keyID string, message, authenticator []byte) error {
	secret, ok := r.keys[keyID]
	if !ok {
		return fault.New(fault.PeerUnauthenticated, "unknown key id")
	}
	if !hmac.Equal(authenticator, authenticate(secret, keyID, message)) {
		return fault.New(fault.PeerUnauthenticated, "wrong authenticator")
	}
	return nil
}

func authenticate(secret []byte, keyID string, message []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write([]byte{byte(len(keyID))})
	_, _ = mac.Write([]byte(keyID))
	_, _ = mac.Write(message)
	return mac.Sum(nil)[:AuthenticatorBytes]
}
