package peers

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/wisteriahaven/wisteriahaven/decision/rollout"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
	"github.com/wisteriahaven/wisteriahaven/gateway/rollouts"
)

// tagRollout is the protobuf field number of an order in a digest.
const tagRollout protowire.Number = 23

// Protobuf field numbers of an order.
const (
	tagOrderService protowire.Number = iota + 1
	tagOrderTo
	tagOrderDuration
	tagOrderCreated
	tagOrderSeen
	tagOrderAge
	tagOrderOutcome
	tagOrderFinal
	tagOrderRequests
	tagOrderExposed
	tagOrderOldStreams
	tagOrderCell
)

// Protobuf field numbers of the counters of a cell; latencies are pairs of a bucket and its count.
const (
	tagCellRoute protowire.Number = iota + 1
	tagCellDataCentre
	tagCellNew
	tagCellFailures
	tagCellLatencies
)

const (
	// maxOrderBytes bounds the part of a digest for one order; cells that don't fit are in later digests.
	maxOrderBytes = 700
	// maxDecodedOrders and maxDecodedCells bound what is decoded of one digest.
	maxDecodedOrders = 8
	maxDecodedCells  = 64
	maxOrderText     = 128
)

func appendRollouts(b []byte, news []rollouts.News) []byte {
	for i := range news {
		b = appendIfFits(b, tagRollout, encodeRollout(&news[i]))
	}
	return b
}

func encodeRollout(news *rollouts.News) []byte {
	b := appendText(nil, tagOrderService, news.Order.Service)
	b = appendText(b, tagOrderTo, news.Order.To)
	b = appendNumber(b, tagOrderDuration, uint64(news.Order.Duration.Milliseconds()))
	b = appendNumber(b, tagOrderCreated, news.Order.Created)
	b = appendNumber(b, tagOrderSeen, uint64(news.Seen))
	b = appendNumber(b, tagOrderAge, uint64(max(0, news.Age.Milliseconds())))
	b = appendNumber(b, tagOrderOutcome, uint64(news.Outcome))
	if news.Final {
		b = appendNumber(b, tagOrderFinal, 1)
	}
	b = appendNumber(b, tagOrderRequests, uint64(max(0, news.Evidence.Requests)))
	b = appendNumber(b, tagOrderExposed, uint64(max(0, news.Evidence.Exposed)))
	b = appendNumber(b, tagOrderOldStreams, uint64(max(0, news.Evidence.OldStreams)))
	for cell, counts := range news.Evidence.Cells {
		part := encodeCell(cell, &counts)
		if len(b)+len(part) > maxOrderBytes {
			break
		}
		b = protowire.AppendBytes(protowire.AppendTag(b, tagOrderCell, protowire.BytesType), part)
	}
	return b
}

func encodeCell(cell rollout.Cell, counts *rollout.Counts) []byte {
	b := appendNumber(nil, tagCellRoute, uint64(cell.Route))
	b = appendNumber(b, tagCellDataCentre, uint64(cell.DataCentre))
	if cell.New {
		b = appendNumber(b, tagCellNew, 1)
	}
	b = appendNumber(b, tagCellFailures, uint64(counts.Failures))
	var latencies []byte
	for bucket, count := range counts.Latencies {
		if count > 0 {
			latencies = protowire.AppendVarint(protowire.AppendVarint(latencies, uint64(bucket)), uint64(count))
		}
	}
	return protowire.AppendBytes(protowire.AppendTag(b, tagCellLatencies, protowire.BytesType), latencies)
}

func (d *Digest) decodeRollout(part []byte) error {
	news := rollouts.News{Evidence: rollout.Evidence{Cells: make(map[rollout.Cell]rollout.Counts)}}
	err := eachField(part, func(tag protowire.Number, number uint64, text []byte) error {
		value := min(number, maxNumber)
		switch tag {
		case tagOrderService:
			news.Order.Service = string(text)
		case tagOrderTo:
			news.Order.To = string(text)
		case tagOrderDuration:
			news.Order.Duration = time.Duration(value) * time.Millisecond
		case tagOrderCreated:
			news.Order.Created = number
		case tagOrderSeen:
			news.Seen = revision.Revision(number)
		case tagOrderAge:
			news.Age = time.Duration(value) * time.Millisecond
		case tagOrderOutcome:
			news.Outcome = rollout.Outcome(min(number, uint64(rollout.Withdrawn)))
		case tagOrderFinal:
			news.Final = number != 0
		case tagOrderRequests:
			news.Evidence.Requests = int(value)
		case tagOrderExposed:
			news.Evidence.Exposed = int(value)
		case tagOrderOldStreams:
			news.Evidence.OldStreams = int(value)
		case tagOrderCell:
			return decodeCell(&news.Evidence, text)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := news.Order.Validate(); err != nil || len(d.Rollouts) == maxDecodedOrders {
		return fault.Wrap(fault.PeerMessage, "peers", "decode an order", err)
	}
	d.Rollouts = append(d.Rollouts, news)
	return nil
}

// maxCount bounds a decoded counter, so that sums over instances can't overflow.
const maxCount = 1 << 20

func decodeCell(evidence *rollout.Evidence, part []byte) error {
	var cell rollout.Cell
	var counts rollout.Counts
	err := eachField(part, func(tag protowire.Number, number uint64, text []byte) error {
		switch tag {
		case tagCellRoute:
			cell.Route = uint32(number)
		case tagCellDataCentre:
			cell.DataCentre = uint32(number)
		case tagCellNew:
			cell.New = number != 0
		case tagCellFailures:
			counts.Failures = uint32(min(number, maxCount))
		case tagCellLatencies:
			return decodeLatencies(&counts, text)
		}
		return nil
	})
	if err == nil && len(evidence.Cells) < maxDecodedCells {
		evidence.Cells[cell] = counts
	}
	return err
}

func decodeLatencies(counts *rollout.Counts, text []byte) error {
	for len(text) > 0 {
		bucket, size := protowire.ConsumeVarint(text)
		if size < 0 {
			return fault.Wrap(fault.PeerMessage, "peers", "decode latencies", protowire.ParseError(size))
		}
		count, countSize := protowire.ConsumeVarint(text[size:])
		if countSize < 0 || bucket >= rollout.Buckets {
			return fault.New(fault.PeerMessage, "latencies: a bucket without count, or out of range")
		}
		counts.Latencies[bucket] = uint32(min(count, maxCount))
		text = text[size+countSize:]
	}
	return nil
}

// AnnounceRollouts makes all peers learn the orders at once. It never blocks.
func (s *Service) AnnounceRollouts() {
	select {
	case s.rolloutNews <- struct{}{}:
	default: // a digest is due already
	}
}

// sendRollouts sends a digest to all peers.
func (s *Service) sendRollouts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := s.digest()
	if len(digest.Rollouts) == 0 {
		return
	}
	payload := Encode(&digest)
	for _, p := range s.table.Members() {
		s.send(p.address, payload)
	}
}
