package cursor

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintSize is the length of a fingerprint in bytes.
const fingerprintSize = 16

// Fingerprint identifies the request a cursor was issued for.
type Fingerprint [fingerprintSize]byte

// Request holds the fields of a request that its fingerprint covers.
type Request struct {
	Service       string
	Model         string
	Prompt        string
	MaxTokens     int
	Key           string
	ClientAccount string
}

// Fingerprint returns the hash over all fields, each with its length.
func (r Request) Fingerprint() Fingerprint {
	digest := sha256.New()
	var size [8]byte
	for _, field := range []string{r.Service, r.Model, r.Prompt, r.Key, r.ClientAccount} {
		binary.LittleEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = digest.Write(size[:])
		_, _ = digest.Write([]byte(field))
	}
	binary.LittleEndian.PutUint64(size[:], uint64(r.MaxTokens))
	_, _ = digest.Write(size[:])
	return Fingerprint(digest.Sum(nil)[:fingerprintSize])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
