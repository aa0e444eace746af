package poison

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Key identifies the content of a request.
type Key uint64

// RequestKey returns the key of a request: its client account, method, target and body. Requests with
// other ids but the same content have the same key, whichever service they are routed to.
func RequestKey(account, method, target string, body []byte) Key {
	hash := xxhash.New()
	for _, text := range []string{account, method, target} {
		// Writes to a hash never fail. Each text ends with a byte that it can't contain.
		_, _ = hash.WriteString(text)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return Key(hash.Sum64())
}

// LateKey returns the key against which the crashes of a request count that come late in its answer, given the key of the
// request and the id of the last part of its prompt, empty for none. They are counted apart: a run that has begun well shows
// nothing about them, only one that has ended well does. Many streams run long enough to see a crash, so that requests of the same
// content with other prompts are told apart.
func LateKey(request Key, prompt string) Key {
	hash := xxhash.New()
	_, _ = hash.WriteString("\x00late\x00" + request.String() + "\x00")
	_, _ = hash.WriteString(prompt)
	return Key(hash.Sum64())
}

// String returns the key as in logs.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// PartKey returns the key of a part of a prompt, given by its id. Keys of parts differ from those of requests.
func PartKey(id string) Key {
	hash := xxhash.New()
	_, _ = hash.WriteString("\x00part\x00")
	_, _ = hash.WriteString(id)
	return Key(hash.Sum64())
}
