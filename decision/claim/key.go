package claim

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key identifies a caller's idempotency key within its client account. It is
// a truncated cryptographic hash, so that no account can craft a collision with
// a key of another.
type Key [16]byte

// KeyOf returns the key of a client account's Idempotency-Key.
func KeyOf(account, idempotencyKey string) Key {
	digest := sha256.New()
	writeField(digest, account)
	writeField(digest, idempotencyKey)
	return Key(digest.Sum(nil)[:len(Key{})])
}

// BodyHash identifies the call that a key was used for: service, operation and
// body.
type BodyHash uint64

// BodyHashOf returns the hash of a call's service, operation and body.
func BodyHashOf(service, operation string, body []byte) BodyHash {
	digest := sha256.New()
	writeField(digest, service)
	writeField(digest, operation)
	_, _ = digest.Write(body)
	return BodyHash(binary.BigEndian.Uint64(digest.Sum(nil)))
}

// AttemptID identifies one submission of a key. Claimants choose it at random;
// it is the nonce that shows whose write took effect.
type AttemptID uint64

type writer interface{ Write([]byte) (int, error) }

// writeField writes a string prefixed by its length, so that different fields
// never give the same input of the hash.
func writeField(to writer, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = to.Write(length[:])
	_, _ = to.Write([]byte(field))
}
