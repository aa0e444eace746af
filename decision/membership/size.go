package membership

import (
	"strings"

	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Upper bounds of encoded sizes, in bytes.
const (
	// DatagramHeaderBytes is the size of the IP and UDP headers.
	DatagramHeaderBytes = 28
	// envelopeBytes covers the authentication around a digest.
	envelopeBytes = 64
	// digestBytes covers the fixed fields of a digest. The constants below cover
	// those of its parts.
	digestBytes      = 32
	recordFixedBytes = 48
	ipv4Bytes        = 8
	ipv6Bytes        = 20
	noticeFixedBytes = 34
	reportFixedBytes = 44
	demandBytes      = 20
)

// recordSize returns an upper bound of the encoded size of a record in bytes.
func recordSize(r Record) int { return recordFixedBytes + peerSize(r.Peer) }

func peerSize(p settings.Peer) int {
	size := len(p.Instance) + len(p.DataCentre) + len(p.Region)
	return size + addressSize(p.Gossip) + addressSize(p.Peers) + addressSize(p.Callers) + addressSize(p.Operators)
}

// addressSize returns an upper bound of the encoded size of an "ip:port" address in bytes.
func addressSize(address string) int {
	if strings.HasPrefix(address, "[") {
		return ipv6Bytes
	}
	return ipv4Bytes
}

// noticeSize returns an upper bound of the encoded size of a notice in bytes.
func noticeSize(n Notice) int {
	return noticeFixedBytes + len(n.Name) + len(n.Origin) + len(n.Reason)
}

// reportSize returns an upper bound of the encoded size of a report in bytes.
func reportSize(r Report) int {
	return reportFixedBytes + len(r.Source) + demandBytes*len(r.Demand)
}

// Size returns an upper bound of the encoded size of the digest in bytes, with its envelope.
func (d Digest) Size() int {
	size := envelopeBytes + digestBytes + len(d.To) + recordSize(d.From)
	for _, record := range d.Records {
		size += recordSize(record)
	}
	for _, notice := range d.Notices {
		size += noticeSize(notice)
	}
	for _, report := range d.Reports {
		size += reportSize(report)
	}
	return size
}
