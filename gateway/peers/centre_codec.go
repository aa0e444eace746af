package peers

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/wisteriahaven/wisteriahaven/decision/overflow"
	"github.com/wisteriahaven/wisteriahaven/event"
)

// tagCentre is the protobuf field number of a digest's statement about a service in the sender's data centre.
const tagCentre protowire.Number = 28

// Protobuf field numbers of a statement.
const (
	tagCentreService protowire.Number = iota + 1
	tagCentreServers
	tagCentreWait
	tagCentreCapacity
	tagCentreShare
)

const (
	// capacityUnit is the unit of a capacity in a statement, as a part of a server.
	capacityUnit = 0.1
	// maxCentreStatements bounds the statements of one digest.
	maxCentreStatements = 8
	// centreSpacing is the mean number of digests to peers of other data centres of which one holds the statements: traffic
	// between data centres is charged by the byte.
	centreSpacing = 4
)

// encodeCentre encodes a statement: the wait in milliseconds, the capacity in tenths of a server.
func encodeCentre(statement *overflow.Statement) []byte {
	b := appendText(nil, tagCentreService, statement.Service)
	b = appendNumber(b, tagCentreServers, uint64(max(0, statement.Servers)))
	b = appendNumber(b, tagCentreWait, uint64(max(0, statement.Wait.Milliseconds())))
	b = appendNumber(b, tagCentreCapacity, uint64(max(0, statement.Capacity/capacityUnit)))
	return appendNumber(b, tagCentreShare, uint64(max(0, statement.Share)))
}

// decodeCentre decodes a statement. What is beyond maxCentreStatements is left out.
func (d *Digest) decodeCentre(part []byte) error {
	var statement overflow.Statement
	err := eachField(part, func(tag protowire.Number, number uint64, text []byte) error {
		value := min(number, maxNumber)
		switch tag {
		case tagCentreService:
			statement.Service = string(text)
		case tagCentreServers:
			statement.Servers = int(value)
		case tagCentreWait:
			statement.Wait = time.Duration(value) * time.Millisecond
		case tagCentreCapacity:
			statement.Capacity = float64(value) * capacityUnit
		case tagCentreShare:
			statement.Share = int(value)
		}
		return nil
	})
	if err == nil && statement.Service != "" && len(d.Centres) < maxCentreStatements {
		d.Centres = append(d.Centres, statement)
	}
	return err
}

// reportCentre passes the statements of a peer on, and logs those that can't be used.
func (s *Service) reportCentre(digest *Digest) {
	if len(digest.Centres) == 0 {
		return
	}
	if invalid := s.options.Ledger.ReportCentre(digest.Instance, digest.DataCentre, digest.Centres); invalid > 0 {
		event.Log(s.options.Logger, event.PeerLoadIgnored).Str("peer", digest.Instance).Int("statements", invalid).Send()
	}
}
