package gossip

import (
	"sync/atomic"

	"github.com/wisteriahaven/wisteriahaven/transport/datagram"
)

// counters holds the numbers of digests that could not be received or sent.
type counters struct {
	malformed       atomic.Uint64
	unauthenticated atomic.Uint64
	encodeFailed    atomic.Uint64
	invalidAddress  atomic.Uint64
}

// Counters holds the counters of a transport at one moment. Byte counts cover
// the UDP payload only.
type Counters struct {
	Received        uint64 `json:"received"`
	ReceivedBytes   uint64 `json:"received_bytes"`
	Sent            uint64 `json:"sent"`
	SentBytes       uint64 `json:"sent_bytes"`
	Oversized       uint64 `json:"oversized"`
	Malformed       uint64 `json:"malformed"`
	Unauthenticated uint64 `json:"unauthenticated"`
	EncodeFailed    uint64 `json:"encode_failed"`
	SendFailed      uint64 `json:"send_failed"`
}

// combined returns the counters of digests combined with those of their datagrams.
func (c *counters) combined(datagrams datagram.Counters) Counters {
	return Counters{
		Received:        datagrams.Received,
		ReceivedBytes:   datagrams.ReceivedBytes,
		Sent:            datagrams.Sent,
		SentBytes:       datagrams.SentBytes,
		Oversized:       datagrams.Oversized,
		Malformed:       datagrams.Malformed + c.malformed.Load(),
		Unauthenticated: c.unauthenticated.Load(),
		EncodeFailed:    c.encodeFailed.Load(),
		SendFailed:      datagrams.SendFailed + c.invalidAddress.Load(),
	}
}
