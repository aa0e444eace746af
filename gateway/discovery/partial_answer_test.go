package discovery

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/revision"
)

// writerFunc calls a function at each line of a log.
type writerFunc func()

func (f writerFunc) Write(line []byte) (int, error) {
	f()
	return len(line), nil
}

var _ io.Writer = writerFunc(nil)

// followBeside applies what a feed returns while a peer reads the changes again and again, and returns the follower's
// directory and the peer's.
func followBeside(apply func(*Follower)) (own, peer *directory.Directory) {
	own, peer = directory.New(), directory.New()
	read := func() { peer.Import(own.Export(peer.Revision())) }
	apply(NewFollower(nil, NewState(), own, func() RelayRole { return Primary }, func() {}, zerolog.New(writerFunc(read))))
	read()
	return own, peer
}

func draining(id string, at revision.Revision) ServerChange {
	change := put(id, at)
	change.Server.Draining = true
	return change
}

// Guards against DRAIN: a peer that reads the servers in the middle of an answer of the store never gets the rest of it.
func TestPeerDoesNotMissChangesOfAnAnswerThatIsBeingApplied(t *testing.T) {
	for name, apply := range map[string]func(*Follower){
		"watch": func(f *Follower) {
			f.applyList([]ServerChange{put("a", 1), put("b", 2), put("c", 3)}, 3, time.Time{})
			f.applyChanges([]ServerChange{removed("a", 4), draining("b", 5), draining("c", 6)}, 6, time.Time{})
		},
		"list": func(f *Follower) {
			f.applyList([]ServerChange{put("a", 1), put("b", 2), put("c", 3)}, 3, time.Time{})
			f.applyList([]ServerChange{draining("a", 6), draining("b", 5), draining("c", 4)}, 6, time.Time{})
		},
		"later pages of a list": func(f *Follower) {
			f.applyList([]ServerChange{put("a", 1), put("b", 2), put("c", 7)}, 3, time.Time{}) // c's page was read after a change of a
			f.applyChanges([]ServerChange{draining("a", 6), put("c", 7)}, 7, time.Time{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			own, peer := followBeside(apply)
			is.Equal(peer.Snapshot().Fingerprint, own.Snapshot().Fingerprint)
			for _, server := range own.Snapshot().All {
				is.Equal(peer.Snapshot().Find(server.ID).Draining, server.Draining)
			}
		})
	}
}

// Guards against a server that is missing until its next change because it left and came back within one answer.
func TestServerThatReturnsInTheSameAnswerIsListed(t *testing.T) {
	is := is.New(t)
	own, peer := followBeside(func(f *Follower) {
		f.applyList([]ServerChange{put("a", 1), put("b", 2)}, 2, time.Time{})
		f.applyChanges([]ServerChange{removed("a", 3), put("a", 4), put("b", 5), removed("b", 6)}, 7, time.Time{})
	})
	for _, servers := range []*directory.Directory{own, peer} {
		is.True(servers.Snapshot().Find("a") != nil)
		is.True(servers.Snapshot().Find("b") == nil)
	}
}
