// Package peerauth signs and verifies messages between instances with the peer
// keys of the settings. It does not encrypt them and does not detect replays.
package peerauth

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// AuthenticatorBytes is the length of an authenticator in bytes: the first half of an HMAC-SHA-256.
const AuthenticatorBytes = 16

// KeyRing holds the peer keys. It signs with the active key and verifies with all keys, so that
// keys can be rotated while the instances run. It is safe for concurrent use.
type KeyRing struct {
	active string
	keys   map[string][]byte
}

// NewKeyRing returns a key ring with the keys of the settings. Errors are SettingsInvalid.
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

// Verify returns PeerUnauthenticated if the key is unknown or the authenticator
// does not match the message.
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

// authenticate computes the authenticator over the id's length, the id and the message.
func authenticate(secret []byte, keyID string, message []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write([]byte{byte(len(keyID))})
	_, _ = mac.Write([]byte(keyID))
	_, _ = mac.Write(message)
	return mac.Sum(nil)[:AuthenticatorBytes]
}
