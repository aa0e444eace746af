package discovery

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

func TestUnansweredWatchIsMeasuredWhileItIsFollowed(t *testing.T) {
	is := is.New(t)
	follower := NewFollower(nil, NewState(), directory.New(), func() RelayRole { return Primary }, func() {}, zerolog.Nop())
	begun := time.Now()
	is.Equal(follower.Unanswered(watchServers, begun.Add(time.Hour)), time.Duration(0))
	follower.recordFollowing(watchServers, begun)
	follower.recordFollowing(watchServers, begun.Add(time.Second)) // the watch goes on
	is.Equal(follower.Unanswered(watchServers, begun.Add(4*time.Second)), 4*time.Second)
	is.Equal(follower.Unanswered(watchConfiguration, begun.Add(4*time.Second)), time.Duration(0))
	follower.recordCall(watchServers, 0, nil)
	is.True(follower.Unanswered(watchServers, time.Now()) < 4*time.Second)
	follower.setFollowing(watchServers, false)
	is.Equal(follower.Unanswered(watchServers, begun.Add(time.Hour)), time.Duration(0))
}
