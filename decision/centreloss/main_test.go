package centreloss_test

import (
	"os"
	"testing"

	"github.com/wisteriahaven/wisteriahaven/internal/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.Apply()
	os.Exit(m.Run())
}
