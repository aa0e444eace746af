package peers

import (
	"encoding/binary"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// keyBytes is the size of an encoded key.
const keyBytes = 8

// encodeKeys packs keys of streams or requests.
func encodeKeys[K ~uint64](keys []K) []byte {
	packed := make([]byte, 0, keyBytes*len(keys))
	for _, key := range keys {
		packed = binary.LittleEndian.AppendUint64(packed, uint64(key))
	}
	return packed
}

// decodeKeys decodes packed keys. Errors have the code PeerMessage.
func decodeKeys[K ~uint64](packed []byte) ([]K, error) {
	if len(packed)%keyBytes != 0 {
		return nil, fault.New(fault.PeerMessage, "packed keys: not a multiple of eight bytes")
	}
	keys := make([]K, 0, len(packed)/keyBytes)
	for ; len(packed) > 0; packed = packed[keyBytes:] {
		keys = append(keys, K(binary.LittleEndian.Uint64(packed)))
	}
	return keys, nil
}
