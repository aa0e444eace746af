package peers

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"
)

// tagServiceWaiting is the protobuf field number of waiting requests in a digest.
const tagServiceWaiting protowire.Number = 29

// Protobuf field numbers of waiting requests.
const (
	tagWaitingService protowire.Number = iota + 1
	tagWaitingRequests
	tagWaitingRank
)

const (
	// maxWaitingServices bounds the decoded services with waiting requests.
	maxWaitingServices = 16
	// maxWaitingRank bounds a decoded rank.
	maxWaitingRank = 1000
)

// ServiceWaiting states how many requests of a service wait for room at an instance.
type ServiceWaiting struct {
	Service  string
	Requests int
	// Rank is the position of the highest rank among them, 0 for the highest of the service.
	Rank int
}

func encodeWaiting(waiting *ServiceWaiting) []byte {
	b := appendText(nil, tagWaitingService, waiting.Service)
	b = appendNumber(b, tagWaitingRequests, uint64(max(0, waiting.Requests)))
	return appendNumber(b, tagWaitingRank, uint64(max(0, waiting.Rank)))
}

// decodeWaiting adds the waiting requests of a service. Those without a name or a number are ignored, as are more than
// maxWaitingServices.
func (d *Digest) decodeWaiting(part []byte) error {
	var waiting ServiceWaiting
	err := eachField(part, func(tag protowire.Number, number uint64, text []byte) error {
		switch tag {
		case tagWaitingService:
			waiting.Service = string(text)
		case tagWaitingRequests:
			waiting.Requests = int(min(number, maxNumber))
		case tagWaitingRank:
			waiting.Rank = int(min(number, maxWaitingRank))
		}
		return nil
	})
	if err == nil && waiting.Service != "" && waiting.Requests > 0 && len(d.Waiting) < maxWaitingServices {
		d.Waiting = append(d.Waiting, waiting)
	}
	return err
}

// hashWaiting returns a hash of waiting requests, 0 for none, which doesn't depend on their order.
func hashWaiting(all []ServiceWaiting) uint64 {
	hash := uint64(0)
	for i := range all {
		hash ^= xxhash.Sum64(encodeWaiting(&all[i]))
	}
	return hash
}
