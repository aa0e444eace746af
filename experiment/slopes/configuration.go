package slopes

import (
	"context"
	"fmt"
	"runtime"

	"google.golang.org/protobuf/proto"

	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/control/configuration"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
)

// measuredChanges is how many changes are applied for one point.
const measuredChanges = 10

// The number of objects of one kind while that of the other kind grows.
const (
	baseServers  = 1000
	baseAccounts = 100
)

// configurationCosts are the costs of one configuration change at one node.
var configurationCosts = []cost{
	{"processor time of a change", "ms"},
	{"bytes of a difference from a peer", "B"},
	{"memory of the copy", "KB"},
}

// measureServers measures the cost of changes by number of backend servers.
func measureServers(ctx context.Context, counts []int) (series, error) {
	result := series{duty: "configuration", variable: "backend servers", costs: configurationCosts}
	for _, count := range counts {
		measured, err := measureChanges(ctx, count, baseAccounts)
		if err != nil {
			return series{}, err
		}
		result.points = append(result.points, point{value: float64(count), costs: measured})
	}
	return result, nil
}

// measureAccounts measures the cost of changes by number of client accounts.
func measureAccounts(ctx context.Context, counts []int) (series, error) {
	result := series{duty: "configuration", variable: "client accounts", costs: configurationCosts}
	for _, count := range counts {
		measured, err := measureChanges(ctx, baseServers, count)
		if err != nil {
			return series{}, err
		}
		result.points = append(result.points, point{value: float64(count), costs: measured})
	}
	return result, nil
}

// measureChanges commits changes of one backend server each and merges into a peer's copy the
// difference from its revision to the next. It returns the values of configurationCosts, averaged
// over the changes except for memory.
func measureChanges(ctx context.Context, servers, accounts int) ([]float64, error) {
	store := newMemoryStore()
	heap := heapBytes()
	peerCopy, err := commit(ctx, store, nil, newConfiguration(servers, accounts), "base")
	if err != nil {
		return nil, err
	}
	memory := heapBytes() - heap
	var bytes, processor float64
	for change := range measuredChanges {
		next := newConfiguration(servers, accounts)
		next.BackendServers[change*servers/measuredChanges].Slots = 99 + change
		newest, err := commit(ctx, store, peerCopy, next, fmt.Sprintf("change-%d", change))
		if err != nil {
			return nil, err
		}
		reply, err := configuration.NewReply(newest, peerCopy.Chunks())
		if err != nil {
			return nil, err
		}
		bytes += float64(proto.Size(reply))
		before := readUsage()
		peerCopy, err = configuration.Merge(peerCopy, reply)
		if err != nil {
			return nil, err
		}
		_, spent := readUsage().since(before)
		processor += float64(spent.Microseconds()) / 1000
	}
	runtime.KeepAlive(peerCopy)
	return []float64{processor / measuredChanges, bytes / measuredChanges, memory / 1024}, nil
}

// commit stores a configuration, with the one of base as its predecessor, and reads it back as a
// node's copy. A nil base stands for an empty configuration.
func commit(ctx context.Context, store objectstore.Store, base *configuration.Copy, next *estate.Configuration, id string) (*configuration.Copy, error) {
	from := &estate.Configuration{}
	if base != nil {
		from = base.Configuration()
	}
	if _, err := configstore.Commit(ctx, store, from, next, id); err != nil {
		return nil, err
	}
	object, err := store.Get(ctx, configstore.HeadKey)
	if err != nil {
		return nil, err
	}
	head, err := configstore.DecodeHead(object.Value)
	if err != nil {
		return nil, err
	}
	values := make(map[string][]byte)
	for _, chunk := range head.Chunks {
		body, err := store.Get(ctx, configstore.ChunkPrefix+chunk.Hash)
		if err != nil {
			return nil, err
		}
		values[chunk.Hash] = body.Value
	}
	return configuration.NewCopy(object.Version, head.Chunks, values)
}

func newConfiguration(servers, accounts int) *estate.Configuration {
	built := &estate.Configuration{}
	for index := range servers {
		built.BackendServers = append(built.BackendServers, estate.BackendServer{
			Name:       fmt.Sprintf("dc-%02d-engine-%05d", index%13, index),
			Address:    fmt.Sprintf("10.%d.%d.%d:8000", index%13, index/250%250, index%250),
			DataCentre: fmt.Sprintf("dc-%02d", index%13),
			Service:    "assistant",
			Model:      fmt.Sprintf("model-%d", index%3),
			Version:    "2026-01",
			Slots:      32,
		})
	}
	for index := range accounts {
		built.ClientAccounts = append(built.ClientAccounts, estate.ClientAccount{
			Name:      fmt.Sprintf("account-%04d", index),
			Firm:      fmt.Sprintf("firm-%02d", index%40),
			KeyHashes: []string{fmt.Sprintf("%064x", index), fmt.Sprintf("%064x", index+1_000_000)},
			Weight:    1 + index%10,
			Limits:    estate.AccountLimits{RequestsPerSecond: 100, TokensPerSecond: 50_000, TokensInFlight: 200_000},
		})
	}
	return built
}

// memoryStore keeps objects in memory, for commits and reads only. It ignores write conditions.
type memoryStore struct {
	objectstore.Store
	objects map[string]objectstore.Object
	version uint64
}

func newMemoryStore() *memoryStore { return &memoryStore{objects: make(map[string]objectstore.Object)} }

// Get implements objectstore.Store.
func (s *memoryStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	object, ok := s.objects[key]
	if !ok {
		return object, fault.New(fault.NotFound, "the object does not exist")
	}
	return object, nil
}

// Put implements objectstore.Store.
func (s *memoryStore) Put(_ context.Context, key string, value []byte, _ objectstore.Condition) (uint64, error) {
	s.version++
	s.objects[key] = objectstore.Object{Key: key, Value: value, Version: s.version}
	return s.version, nil
}
