package peers

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
	"github.com/wisteriahaven/wisteriahaven/transport/datagram"
)

// Protobuf field numbers of a digest.
const (
	tagInstance protowire.Number = iota + 1
	tagDataCentre
	tagIncarnation
	tagSequence
	tagVersion
	tagRevision
	tagFlags
	tagLoad
	tagFailedServer
	tagPeerAddress
	tagServers
	tagUsage
	tagLeavingServer
	tagRate
	tagStreamRecords
	tagWantedStreams
	tagCrash
	tagCleanRun
	tagQuarantine
	tagCutOffService
	tagRejectionLimit
	tagRejections
)

// tagAnswerTo is the field number of Digest.AnswerTo, tagAsOf that of Digest.AsOf.
const (
	tagAnswerTo protowire.Number = 31
	tagAsOf     protowire.Number = 32
)

// Bits of a digest's flags field.
const (
	flagLeaving = 1 << iota
	flagProbe
	flagHasLoads
	flagRelay
	flagCutOff
	flagNamesQuestion
	flagKeysRequired
	flagStoreUnavailable
)

// Protobuf field numbers of the nested messages: load, usage, failed and leaving server.
const (
	tagServer protowire.Number = iota + 1
	tagRequests
	tagWaiting
	tagMemory
	tagAge
	tagDown
	tagServerDataCentre
	tagServerAddress
	tagServerIncarnation
)

// Encode returns the datagram of a digest. Parts that do not fit are left out:
// services of which the sender reaches no server are written first, then orders to move services, failed servers, news about requests that crash servers, records of streams, leaving servers, rejection limits, rejections, request rates, waiting requests, usages, rates, loads, statements about the data centre, speeds of servers and peer addresses.
func Encode(digest *Digest) []byte {
	b := appendText(make([]byte, 0, 256), tagInstance, digest.Instance)
	b = appendText(b, tagDataCentre, digest.DataCentre)
	b = appendNumber(b, tagIncarnation, digest.Incarnation)
	b = appendNumber(b, tagSequence, digest.Sequence)
	b = appendNumber(b, tagVersion, digest.Version)
	b = appendNumber(b, tagRevision, uint64(digest.Revision))
	b = appendNumber(b, tagServers, digest.Servers)
	b = appendNumber(b, tagFlags, digest.flags())
	b = appendNumber(b, tagAnswerTo, digest.AnswerTo)
	b = appendNumber(b, tagAsOf, uint64(digest.AsOf))
	b = appendCutOff(b, digest.CutOff)
	b = appendRollouts(b, digest.Rollouts)
	for i := range digest.FailedServers {
		b = appendIfFits(b, tagFailedServer, encodeFailedServer(&digest.FailedServers[i]))
	}
	if len(digest.WantedStreams) > 0 {
		b = appendIfFits(b, tagWantedStreams, encodeKeys(digest.WantedStreams))
	}
	b = appendPoisonNews(b, &digest.Poison)
	b = appendStreamRecords(b, digest.StreamRecords)
	for i := range digest.LeavingServers {
		b = appendIfFits(b, tagLeavingServer, encodeLeavingServer(&digest.LeavingServers[i]))
	}
	for i := range digest.RejectionLimits {
		b = appendIfFits(b, tagRejectionLimit, encodeLimit(&digest.RejectionLimits[i]))
	}
	for i := range digest.Rejections {
		b = appendIfFits(b, tagRejections, encodeRejections(&digest.Rejections[i]))
	}
	for i := range digest.RequestRates {
		b = appendIfFits(b, tagRequestRate, encodeRequestRate(&digest.RequestRates[i]))
	}
	for i := range digest.Waiting {
		b = appendIfFits(b, tagServiceWaiting, encodeWaiting(&digest.Waiting[i]))
	}
	for i := range digest.Usages {
		b = appendIfFits(b, tagUsage, encodeUsage(&digest.Usages[i]))
	}
	for i := range digest.Rates {
		b = appendIfFits(b, tagRate, encodeRate(&digest.Rates[i]))
	}
	for i := range digest.Loads {
		b = appendIfFits(b, tagLoad, encodeLoad(&digest.Loads[i]))
	}
	for i := range digest.Centres {
		b = appendIfFits(b, tagCentre, encodeCentre(&digest.Centres[i]))
	}
	for i := range digest.Speeds {
		b = appendIfFits(b, tagServerSpeed, encodeSpeed(&digest.Speeds[i]))
	}
	for _, address := range digest.Members {
		b = appendIfFits(b, tagPeerAddress, address.AsSlice())
	}
	return b
}

func (d *Digest) flags() uint64 {
	flags := uint64(0)
	if d.Leaving {
		flags |= flagLeaving
	}
	if d.Probe {
		flags |= flagProbe
	}
	if d.HasLoads {
		flags |= flagHasLoads
	}
	if d.Relay {
		flags |= flagRelay
	}
	if d.CutOff.All {
		flags |= flagCutOff
	}
	if d.NamesQuestion {
		flags |= flagNamesQuestion
	}
	if d.KeysRequired {
		flags |= flagKeysRequired
	}
	if d.StoreUnavailable {
		flags |= flagStoreUnavailable
	}
	return flags
}

func encodeLoad(load *ServerLoad) []byte {
	b := appendText(nil, tagServer, load.Server)
	b = appendNumber(b, tagRequests, uint64(max(0, load.Load.Requests)))
	b = appendNumber(b, tagWaiting, uint64(max(0, load.Load.PrefillTokens)))
	return appendNumber(b, tagMemory, uint64(max(0, load.Load.MemoryTokens)))
}

func encodeUsage(usage *ServiceUsage) []byte {
	b := appendText(nil, tagServer, usage.Service)
	b = appendNumber(b, tagRequests, uint64(max(0, usage.Usage.Requests)))
	return appendNumber(b, tagWaiting, uint64(max(0, usage.Usage.SecondSends)))
}

func encodeFailedServer(failed *FailedServer) []byte {
	b := appendText(nil, tagServer, failed.Server)
	b = appendText(b, tagServerDataCentre, failed.DataCentre)
	b = appendNumber(b, tagAge, uint64(max(0, failed.Age.Milliseconds())))
	if failed.Down {
		b = appendNumber(b, tagDown, 1)
	}
	return b
}

func encodeLeavingServer(leaving *LeavingServer) []byte {
	b := appendText(nil, tagServer, leaving.Server)
	b = appendText(b, tagServerAddress, leaving.Address)
	return appendNumber(b, tagServerIncarnation, uint64(max(0, leaving.Incarnation)))
}

func appendText(b []byte, tag protowire.Number, text string) []byte {
	return protowire.AppendString(protowire.AppendTag(b, tag, protowire.BytesType), text)
}

// appendNumber appends a field, which is omitted when its value is 0.
func appendNumber(b []byte, tag protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, tag, protowire.VarintType), value)
}

// appendIfFits appends a part unless the datagram would exceed its maximum size.
func appendIfFits(b []byte, tag protowire.Number, part []byte) []byte {
	if len(b)+len(part)+protowire.SizeTag(tag)+protowire.SizeVarint(uint64(len(part))) > datagram.MaxBytes {
		return b
	}
	return protowire.AppendBytes(protowire.AppendTag(b, tag, protowire.BytesType), part)
}

// maxNumber bounds the decoded numbers of a nested message, so that sums can't overflow.
const maxNumber = 1 << 40

// maxIncarnation bounds a decoded incarnation, so that it fits into a signed number.
const maxIncarnation = 1<<63 - 1

// Decode reads the digest of a datagram. Unknown fields, which newer instances
// may send, are skipped. Errors have the code PeerMessage.
func Decode(payload []byte) (*Digest, error) {
	digest := &Digest{}
	err := eachField(payload, func(tag protowire.Number, number uint64, text []byte) error {
		switch tag {
		case tagInstance:
			digest.Instance = string(text)
		case tagDataCentre:
			digest.DataCentre = string(text)
		case tagIncarnation:
			digest.Incarnation = number
		case tagSequence:
			digest.Sequence = number
		case tagVersion:
			digest.Version = number
		case tagRevision:
			digest.Revision = revision.Revision(number)
		case tagFlags:
			digest.Leaving = number&flagLeaving != 0
			digest.Probe = number&flagProbe != 0
			digest.HasLoads = number&flagHasLoads != 0
			digest.Relay = number&flagRelay != 0
			digest.CutOff.All = number&flagCutOff != 0
			digest.NamesQuestion = number&flagNamesQuestion != 0
			digest.KeysRequired = number&flagKeysRequired != 0
			digest.StoreUnavailable = number&flagStoreUnavailable != 0
		case tagAnswerTo:
			digest.AnswerTo = number
		case tagAsOf:
			digest.AsOf = revision.Revision(number)
		case tagCutOffService:
			digest.CutOff.decodeService(text)
		case tagServers:
			digest.Servers = number
		case tagLoad:
			return digest.decodeLoad(text)
		case tagUsage:
			return digest.decodeUsage(text)
		case tagRate:
			return digest.decodeRate(text)
		case tagCentre:
			return digest.decodeCentre(text)
		case tagServerSpeed:
			return digest.decodeSpeed(text)
		case tagStreamRecords:
			return digest.decodeStreamRecords(text)
		case tagWantedStreams:
			keys, err := decodeKeys[streamversion.Key](text)
			digest.WantedStreams = append(digest.WantedStreams, keys...)
			return err
		case tagCrash, tagCleanRun, tagQuarantine:
			return digest.Poison.decodePoison(tag, text)
		case tagRejectionLimit:
			return digest.decodeLimit(text)
		case tagRequestRate:
			return digest.decodeRequestRate(text)
		case tagServiceWaiting:
			return digest.decodeWaiting(text)
		case tagRejections:
			return digest.decodeRejections(text)
		case tagRollout:
			return digest.decodeRollout(text)
		case tagFailedServer:
			return digest.decodeFailedServer(text)
		case tagLeavingServer:
			return digest.decodeLeavingServer(text)
		case tagPeerAddress:
			if address, ok := netip.AddrFromSlice(text); ok {
				digest.Members = append(digest.Members, address)
			}
		}
		return nil
	})
	if err == nil && digest.Instance == "" {
		err = fault.New(fault.PeerMessage, "the digest has no instance name")
	}
	return digest, err
}

func (d *Digest) decodeLoad(part []byte) error {
	var load ServerLoad
	err := eachField(part, func(tag protowire.Number, number uint64, text []byte) error {
		value := int(min(number, maxNumber))
		switch tag {
		case tagServer:
			load.Server = string(text)
		case tagRequests:
			load.Load.Requests = value
		case tagWaiting:
			load.Load.PrefillTokens = value
		case tagMemory:
			load.Load.MemoryTokens = value
		}
		return nil
	})
	if err == nil && load.Server != "" && load.Load != (placement.Load{}) {
		d.Loads = append(d.Loads, load)
	}
	return err
}

func (d *Digest) decodeUsage(part []byte) error {
	var usage ServiceUsage
	err := eachField(part, func(tag protowire.Number, number uint64, text []byte) error {
		value := int(min(number, maxNumber))
		switch tag {
		case tagServer:
			usage.Service = string(text)
		case tagRequests:
			usage.Usage.Requests = value
		case tagWaiting:
			usage.Usage.SecondSends = value
		}
		return nil
	})
	if err == nil && usage.Service != "" {
		d.Usages = append(d.Usages, usage)
	}
	return err
}

func (d *Digest) decodeFailedServer(part []byte) error {
	var failed FailedServer
	err := eachField(part, func(tag protowire.Number, number uint64, text []byte) error {
		switch tag {
		case tagServer:
			failed.Server = string(text)
		case tagServerDataCentre:
			failed.DataCentre = string(text)
		case tagAge:
			failed.Age = time.Duration(min(number, maxNumber)) * time.Millisecond
		case tagDown:
			failed.Down = number != 0
		}
		return nil
	})
	if err == nil && failed.Server != "" {
		d.FailedServers = append(d.FailedServers, failed)
	}
	return err
}

func (d *Digest) decodeLeavingServer(part []byte) error {
	var leaving LeavingServer
	err := eachField(part, func(tag protowire.Number, number uint64, text []byte) error {
		switch tag {
		case tagServer:
			leaving.Server = string(text)
		case tagServerAddress:
			leaving.Address = string(text)
		case tagServerIncarnation:
			leaving.Incarnation = int64(min(number, maxIncarnation))
		}
		return nil
	})
	if err == nil && leaving.Server != "" {
		d.LeavingServers = append(d.LeavingServers, leaving)
	}
	return err
}

// eachField calls visit for each field, with its number or text by the type of the field.
func eachField(message []byte, visit func(tag protowire.Number, number uint64, text []byte) error) error {
	for len(message) > 0 {
		tag, kind, size := protowire.ConsumeTag(message)
		if size < 0 {
			return fault.Wrap(fault.PeerMessage, "peers", "decode digest", protowire.ParseError(size))
		}
		message = message[size:]
		var number uint64
		var text []byte
		switch kind {
		case protowire.VarintType:
			number, size = protowire.ConsumeVarint(message)
		case protowire.BytesType:
			text, size = protowire.ConsumeBytes(message)
		default:
			size = protowire.ConsumeFieldValue(tag, kind, message)
		}
		if size < 0 {
			return fault.Wrap(fault.PeerMessage, "peers", "decode digest", protowire.ParseError(size))
		}
		message = message[size:]
		if err := visit(tag, number, text); err != nil {
			return err
		}
	}
	return nil
}
