package gossip_test

import (
	"testing"

	"go.uber.org/goleak"

	"github.com/wisteriahaven/wisteriahaven/internal/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.Apply()
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}
