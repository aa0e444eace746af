package claim

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key identifies a caller's idempotency key within its client account. It is
// a truncated cryptographic hash, so that no account can aim at the keys of
// another.
type Key [16]byte

// KeyOf returns the key of a client account's Idempotency-Key.
func KeyOf(account, idempotencyKey string) Key {
	digest := sha256.New()
	writeField(digest, account)
	writeField(digest, idempotencyKey)
	return Key(digest.Sum(nil)[:len(Key{})])
}

// BodyHash identifies what a key was used for: service, operation and body.
type BodyHash uint64

// BodyHashOf returns the hash of a call's content.
func BodyHashOf(service, operation string, body []byte) BodyHash {
	digest := sha256.New()
	writeField(digest, service)
	writeField(digest, operation)
	_, _ = digest.Write(body)
	return BodyHash(binary.BigEndian.Uint64(digest.Sum(nil)))
}

// AttemptID identifies one submission of a key. Claimants draw it at random;
// it is the nonce that tells whose write took effect.
type AttemptID uint64

type writer interface{ Write([]byte) (int, error) }

// writeField writes a string behind its length, so that fields can't run
// into each other.
func writeField(to writer, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = to.Write(length[:])
	_, _ = to.Write([]byte(field))
}
