package gossip

import "sync/atomic"

// counters count datagrams.
type counters struct {
	received        atomic.Uint64
	receivedBytes   atomic.Uint64
	sent            atomic.Uint64
	sentBytes       atomic.Uint64
	oversized       atomic.Uint64
	malformed       atomic.Uint64
	unauthenticated atomic.Uint64
	encodeFailed    atomic.Uint64
	sendFailed      atomic.Uint64
}

// Counters is a copy of the counters. Bytes are of the UDP payload.
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

func (c *counters) copy() Counters {
	return Counters{
		Received:        c.received.Load(),
		ReceivedBytes:   c.receivedBytes.Load(),
		Sent:            c.sent.Load(),
		SentBytes:       c.sentBytes.Load(),
		Oversized:       c.oversized.Load(),
		Malformed:       c.malformed.Load(),
		Unauthenticated: c.unauthenticated.Load(),
		EncodeFailed:    c.encodeFailed.Load(),
		SendFailed:      c.sendFailed.Load(),
	}
}
