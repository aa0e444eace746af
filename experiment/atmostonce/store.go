package atmostonce

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
)

// storeTimeout is the time after which a client gives up a read or write.
const storeTimeout = 300 * time.Millisecond

// store simulates the platform's object API.
type store struct {
	objects map[string]object
	version uint64
	// unavailable is true during an outage.
	unavailable bool
	// loseAnswers and delayWrites apply to one in three writes.
	loseAnswers bool
	delayWrites bool
	writes      int
	reads       int
	bytes       int
}

type object struct {
	value   []byte
	version uint64
}

func (s *store) read(key string) claim.ReadDone {
	s.reads++
	found, exists := s.objects[key]
	if !exists {
		return claim.ReadDone{Status: claim.StatusAbsent}
	}
	return claim.ReadDone{Status: claim.StatusOK, Value: found.value, Version: found.version}
}

func (s *store) write(write claim.Write) claim.WriteDone {
	s.writes++
	s.bytes += len(write.Value)
	found, exists := s.objects[write.Key]
	if exists == write.Absent || (exists && found.version != write.Version) {
		return claim.WriteDone{Status: claim.StatusConflict}
	}
	s.version++
	s.objects[write.Key] = object{value: write.Value, version: s.version}
	return claim.WriteDone{Status: claim.StatusOK, Version: s.version}
}
