package peers

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/wisteriahaven/wisteriahaven/decision/load"
	"github.com/wisteriahaven/wisteriahaven/event"
)

// tagServerSpeed is the protobuf field number of a server's speed in a digest.
const tagServerSpeed protowire.Number = 27

// Protobuf field numbers of a server's speed.
const (
	tagSpeedServer protowire.Number = iota + 1
	tagSpeedInterval
	tagSpeedPause
	tagSpeedIntervalAge
	tagSpeedPercent
	tagSpeedPercentAge
)

// encodeSpeed encodes the speed of a server: intervals in microseconds, ages in milliseconds.
func encodeSpeed(share *load.Share) []byte {
	b := appendText(nil, tagSpeedServer, share.Server)
	b = appendNumber(b, tagSpeedInterval, uint64(max(0, share.Interval.Microseconds())))
	b = appendNumber(b, tagSpeedPause, uint64(max(0, share.Pause.Microseconds())))
	b = appendNumber(b, tagSpeedIntervalAge, uint64(max(0, share.IntervalAge.Milliseconds())))
	b = appendNumber(b, tagSpeedPercent, uint64(max(0, share.WorkPercent)))
	return appendNumber(b, tagSpeedPercentAge, uint64(max(0, share.PercentAge.Milliseconds())))
}

// decodeSpeed decodes the speed of a server. What is beyond load.MaxShares is left out.
func (d *Digest) decodeSpeed(part []byte) error {
	var share load.Share
	err := eachField(part, func(tag protowire.Number, number uint64, text []byte) error {
		value := min(number, maxNumber)
		switch tag {
		case tagSpeedServer:
			share.Server = string(text)
		case tagSpeedInterval:
			share.Interval = time.Duration(value) * time.Microsecond
		case tagSpeedPause:
			share.Pause = time.Duration(value) * time.Microsecond
		case tagSpeedIntervalAge:
			share.IntervalAge = time.Duration(value) * time.Millisecond
		case tagSpeedPercent:
			share.WorkPercent = int(value)
		case tagSpeedPercentAge:
			share.PercentAge = time.Duration(value) * time.Millisecond
		}
		return nil
	})
	if err == nil && share.Server != "" && len(d.Speeds) < load.MaxShares {
		d.Speeds = append(d.Speeds, share)
	}
	return err
}

// reportSpeeds passes the speeds that a peer tells on, and logs those that can't be used.
func (s *Service) reportSpeeds(digest *Digest) {
	if len(digest.Speeds) == 0 {
		return
	}
	if invalid := s.options.Ledger.ReportSpeeds(digest.Speeds); invalid > 0 {
		event.Log(s.options.Logger, event.PeerLoadIgnored).Str("peer", digest.Instance).Int("figures", invalid).Send()
	}
}
