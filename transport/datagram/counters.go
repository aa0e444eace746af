package datagram

import "sync/atomic"

// counters holds the numbers of datagrams and of their bytes.
type counters struct {
	received      atomic.Uint64
	receivedBytes atomic.Uint64
	sent          atomic.Uint64
	sentBytes     atomic.Uint64
	oversized     atomic.Uint64
	malformed     atomic.Uint64
	sendFailed    atomic.Uint64
}

// Counters holds the counters of a transport at one moment. Byte counts cover
// the UDP payload only.
type Counters struct {
	Received      uint64
	ReceivedBytes uint64
	Sent          uint64
	SentBytes     uint64
	Oversized     uint64
	Malformed     uint64
	SendFailed    uint64
}

func (c *counters) snapshot() Counters {
	return Counters{
		Received:      c.received.Load(),
		ReceivedBytes: c.receivedBytes.Load(),
		Sent:          c.sent.Load(),
		SentBytes:     c.sentBytes.Load(),
		Oversized:     c.oversized.Load(),
		Malformed:     c.malformed.Load(),
		SendFailed:    c.sendFailed.Load(),
	}
}
