package peers

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

// inquiryTo returns a service that has heard of peers some time ago, and asks them.
func inquiryTo(peers int) (*Service, StreamInquiry) {
	s := newService(netip.MustParseAddrPort("10.0.0.100:1"))
	s.options.Directory.Put(&directory.Server{ID: "s", Service: "m", Address: "10.9.0.1:1", Revision: 7})
	for n := range peers {
		hearFrom(s, n+2, time.Now().Add(-time.Second), 7)
	}
	inquiry := StreamInquiry{service: s, begun: time.Now(), peers: make(map[netip.Addr]uint64)}
	for _, p := range s.table.owners(streamversion.KeyOf("attempt")) {
		inquiry.peers[p.address] = s.digest().Sequence
	}
	return s, inquiry
}

// hearFrom records a digest of a peer whose list of servers is that of the service at revision 7.
func hearFrom(s *Service, instance int, at time.Time, revisionNumber uint64) {
	own := s.localState()
	receiveDigest(s.table, at, instance, func(d *Digest) {
		d.Revision, d.Servers = own.Revision, own.Servers
		if revisionNumber > 7 {
			d.Revision, d.Servers = own.Revision+1, own.Servers+1
		}
	})
}

func TestInstanceIsInStepOnlyIfMostPeersAnswer(t *testing.T) {
	is := is.New(t)
	s, inquiry := inquiryTo(5)
	is.True(!inquiry.Answered()) // what was heard before tells nothing: the instance may have stood still since
	for n := range 3 {
		is.True(!inquiry.Answered())
		hearFrom(s, n+2, time.Now(), 7)
	}
	is.True(inquiry.Answered())
	is.True(!inquiry.Behind())
}

// Guards against ORDER: an instance that stood still does not know of a version that joined meanwhile, and goes on with its streams at another.
func TestInstanceIsNotInStepWhileAPeerHasALaterList(t *testing.T) {
	is := is.New(t)
	s, inquiry := inquiryTo(5)
	hearFrom(s, 2, time.Now(), 8)
	is.True(inquiry.Behind())
	s.options.Directory.Put(&directory.Server{ID: "joined", Service: "m", Address: "10.9.0.2:1", Revision: 8})
	is.True(!inquiry.Behind())
}

// Guards against ORDER: digests that waited while an instance stood still are handled after it has asked, and are taken for answers.
func TestDigestsSentBeforeAnInquiryDoNotAnswerIt(t *testing.T) {
	is := is.New(t)
	s, inquiry := inquiryTo(5)
	handle := func(instance int, answerTo uint64) {
		digest := Digest{Instance: "instance-" + strconv.Itoa(instance), DataCentre: "a", Incarnation: 1, Sequence: uint64(time.Now().UnixNano()), NamesQuestion: true, AnswerTo: answerTo}
		s.record(time.Now(), addressOf(instance), &digest)
	}
	for n := range 5 {
		handle(n+2, 0)
		handle(n+2, 7) // answers the instance's previous process
	}
	is.True(!inquiry.Answered())
	for n := range 3 {
		is.True(!inquiry.Answered())
		handle(n+2, s.incarnation+inquiry.peers[addressOf(n+2)])
	}
	is.True(inquiry.Answered())
}

func TestInstanceWithoutPeersNeedsNoneToBeInStep(t *testing.T) {
	is := is.New(t)
	_, inquiry := inquiryTo(0)
	is.True(inquiry.Answered())
	s, _ := inquiryTo(1)
	s.table.Expire(time.Now().Add(2 * peerTimeout))
	is.True(!StreamInquiry{service: s, begun: time.Now()}.Answered()) // it may be cut off from those that it had
}

func TestPeerAnswersAnInquiryForAnUnknownRecord(t *testing.T) {
	is := is.New(t)
	s := newService(netip.MustParseAddrPort("10.0.0.100:1"))
	s.options.StreamVersions = noStreamVersions{}
	digest, err := Decode(s.answerWanted(&Digest{Incarnation: 1 << 63, Sequence: 4, WantedStreams: []streamversion.Key{streamversion.KeyOf("attempt")}}))
	is.NoErr(err)
	is.Equal(digest.AnswerTo, uint64(1<<63+4))
	is.Equal(digest.Instance, s.options.Instance)
}

// noStreamVersions holds no records.
type noStreamVersions struct{}

func (noStreamVersions) Learn([]streamversion.Record)                     {}
func (noStreamVersions) Known([]streamversion.Key) []streamversion.Record { return nil }
