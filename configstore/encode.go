package configstore

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Numbers of buckets into which the large kinds are split by a hash of the name. Each bucket is
// one chunk.
const (
	backendServerBuckets = 32
	clientAccountBuckets = 8
)

// Kinds of chunks.
const (
	kindGeneral        = "general"
	kindBackendServers = "backend-servers"
	kindClientAccounts = "client-accounts"
)

// encodedChunk is a chunk with its encoded value.
type encodedChunk struct {
	Chunk
	value []byte
}

// encode splits a configuration into chunks in a fixed order.
func encode(configuration *estate.Configuration) ([]encodedChunk, error) {
	general := *configuration
	general.Revision = 0
	general.BackendServers = nil
	general.ClientAccounts = nil
	chunk, err := encodeChunk(kindGeneral, 0, general)
	if err != nil {
		return nil, err
	}
	chunks := []encodedChunk{chunk}
	servers := split(configuration.BackendServers, backendServerBuckets, func(s estate.BackendServer) string { return s.Name })
	chunks, err = appendBuckets(chunks, kindBackendServers, servers)
	if err != nil {
		return nil, err
	}
	accounts := split(configuration.ClientAccounts, clientAccountBuckets, func(a estate.ClientAccount) string { return a.Name })
	return appendBuckets(chunks, kindClientAccounts, accounts)
}

// split distributes the items to buckets by the hash of their names. Items of a bucket keep
// their order.
func split[T any](items []T, buckets int, name func(T) string) [][]T {
	groups := make([][]T, buckets)
	for _, item := range items {
		bucket := int(xxhash.Sum64String(name(item)) % uint64(buckets))
		groups[bucket] = append(groups[bucket], item)
	}
	return groups
}

func appendBuckets[T any](chunks []encodedChunk, kind string, groups [][]T) ([]encodedChunk, error) {
	for bucket, group := range groups {
		if len(group) == 0 {
			continue
		}
		chunk, err := encodeChunk(kind, bucket, group)
		if err != nil {
			return nil, err
		}
		chunks = append(chunks, chunk)
	}
	return chunks, nil
}

func encodeChunk(kind string, bucket int, content any) (encodedChunk, error) {
	value, err := json.Marshal(content)
	if err != nil {
		return encodedChunk{}, fault.Wrap(fault.Internal, "configstore", "encode "+kind+" bucket "+strconv.Itoa(bucket), err)
	}
	return encodedChunk{Chunk: Chunk{Kind: kind, Bucket: bucket, Hash: ChunkHash(value)}, value: value}, nil
}

// ChunkHash returns the SHA-256 of a chunk's value in hexadecimal.
func ChunkHash(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}
