package claim

import (
	"encoding/binary"
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// ShardsPerRegion is the fixed number of claim shards of a home region.
// Changing it moves keys to other shards and needs all retentions to pass.
const ShardsPerRegion = 2

// Shard is one part of the keys of a home region.
type Shard struct {
	Region string
	Index  int
}

// ShardOf returns the shard of a key.
func ShardOf(region string, key Key) Shard {
	return Shard{Region: region, Index: int(binary.BigEndian.Uint64(key[:]) % ShardsPerRegion)}
}

// prefix returns the common prefix of the shard's objects.
func (s Shard) prefix() string {
	return "claims/" + s.Region + "/" + strconv.Itoa(s.Index)
}

// HeadKey returns the key of the shard's head object.
func (s Shard) HeadKey() string { return s.prefix() + "/head" }

// SegmentKey returns the key of a segment object.
func (s Shard) SegmentKey(id SegmentID) string {
	return s.prefix() + "/segment/" + strconv.FormatUint(uint64(id), 16)
}

// Home returns the instance that gathers the shard's operations, chosen from
// the live instances of the home region; "" when there are none.
func (s Shard) Owner(instances []string) string {
	return rendezvous.Owner(s.prefix(), instances)
}
