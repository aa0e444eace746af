package cursor

import (
	"encoding/hex"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Bounds of a key ring.
const (
	// minSecretSize is the minimum length of a secret in bytes.
	minSecretSize = 32
	// maxKeyIDSize is the maximum length of a key id in bytes.
	maxKeyIDSize = 64
)

// Keys is a validated key ring. It is immutable and safe for concurrent use.
type Keys struct {
	active  string
	secrets map[string][]byte
}

// NewKeys validates the key ring. Errors carry SettingsInvalid and the field.
func NewKeys(ring settings.KeyRing) (*Keys, error) {
	keys := &Keys{active: ring.Active, secrets: make(map[string][]byte, len(ring.Keys))}
	for _, key := range ring.Keys {
		secret, err := hex.DecodeString(key.Secret)
		if err != nil || len(secret) < minSecretSize {
			return nil, invalidKey("keys.cursor.keys.secret", "must be hexadecimal of at least 32 bytes")
		}
		if key.ID == "" || len(key.ID) > maxKeyIDSize {
			return nil, invalidKey("keys.cursor.keys.id", "must have 1 to 64 bytes")
		}
		if _, ok := keys.secrets[key.ID]; ok {
			return nil, invalidKey("keys.cursor.keys.id", "must be unique")
		}
		keys.secrets[key.ID] = secret
	}
	if _, ok := keys.secrets[ring.Active]; !ok {
		return nil, invalidKey("keys.cursor.active", "must name one of the keys")
	}
	return keys, nil
}

func invalidKey(field, reason string) error {
	return &fault.Error{Code: fault.SettingsInvalid, Field: field, Reason: reason}
}
