package operator_test

import (
	"context"
	"sort"
	"strings"

	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
)

// headFault is the result or fault of one write of the head.
type headFault string

const (
	headWritten headFault = "written"
	// answerLost applies the write and loses the answer.
	answerLost headFault = "answer lost"
	// writeLost loses the write; for the writer it looks like answerLost.
	writeLost headFault = "write lost"
	// writeDelayed loses the answer; the write reaches the store later.
	writeDelayed headFault = "write delayed"
	// writeRefused fails the write as in an outage.
	writeRefused headFault = "write refused"
)

// delayedWrite is a write that has not reached the store yet.
type delayedWrite struct {
	value        []byte
	condition    objectstore.Condition
	ofLocalDrain bool
}

// faultyStore is an objectstore.Store with faults that records all its heads.
type faultyStore struct {
	objects map[string]objectstore.Object
	version uint64
	heads   []objectstore.Object
	delayed []delayedWrite
	outage  bool
	// writingLocalDrains is set while an instance writes its local drains;
	// ofLocalDrain holds the versions of the heads written then.
	writingLocalDrains bool
	ofLocalDrain       map[uint64]bool
	// beforeHead runs before each write of the head and returns its fault.
	beforeHead func() headFault
	// loseChunk reports whether the answer to the write of a chunk is lost.
	loseChunk func() bool
}

func newFaultyStore() *faultyStore {
	return &faultyStore{objects: make(map[string]objectstore.Object), ofLocalDrain: make(map[uint64]bool), beforeHead: func() headFault { return headWritten }, loseChunk: func() bool { return false }}
}

func (s *faultyStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	if s.outage {
		return objectstore.Object{}, fault.New(fault.PlatformUnavailable, "outage")
	}
	object, found := s.objects[key]
	if !found {
		return object, fault.New(fault.NotFound, key)
	}
	return object, nil
}

func (s *faultyStore) Put(_ context.Context, key string, value []byte, condition objectstore.Condition) (uint64, error) {
	if s.outage {
		return 0, fault.New(fault.PlatformUnavailable, "outage")
	}
	if key != configstore.HeadKey {
		return s.putChunk(key, value, condition)
	}
	switch s.beforeHead() {
	case answerLost:
		_, _ = s.put(key, value, condition)
	case writeLost:
	case writeDelayed:
		s.delayed = append(s.delayed, delayedWrite{value, condition, s.writingLocalDrains})
	case writeRefused:
		return 0, fault.New(fault.PlatformUnavailable, "outage")
	default:
		return s.put(key, value, condition)
	}
	return 0, fault.New(fault.PlatformAnswerLost, "timeout")
}

func (s *faultyStore) put(key string, value []byte, condition objectstore.Condition) (uint64, error) {
	current, exists := s.objects[key]
	if !condition.Holds(exists, current.Version) {
		return 0, fault.New(fault.PlatformConflict, key)
	}
	s.version++
	object := objectstore.Object{Key: key, Value: value, Version: s.version}
	s.objects[key] = object
	if key == configstore.HeadKey {
		s.heads = append(s.heads, object)
		s.ofLocalDrain[s.version] = s.writingLocalDrains
	}
	return s.version, nil
}

// putChunk writes a chunk; loseChunk decides whether its answer is lost.
func (s *faultyStore) putChunk(key string, value []byte, condition objectstore.Condition) (uint64, error) {
	version, err := s.put(key, value, condition)
	if s.loseChunk() {
		return 0, fault.New(fault.PlatformAnswerLost, "timeout")
	}
	return version, err
}

// deliverDelayed applies the oldest delayed write.
func (s *faultyStore) deliverDelayed() {
	if len(s.delayed) > 0 {
		write := s.delayed[0]
		s.delayed = s.delayed[1:]
		s.writingLocalDrains = write.ofLocalDrain
		_, _ = s.put(configstore.HeadKey, write.value, write.condition)
		s.writingLocalDrains = false
	}
}

func (s *faultyStore) Delete(context.Context, string, objectstore.Condition) error { return nil }

func (s *faultyStore) List(_ context.Context, prefix string) ([]objectstore.Object, error) {
	var found []objectstore.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

func (s *faultyStore) Watch(context.Context, string, uint64) ([]objectstore.Change, error) {
	return nil, nil
}
