package membership_test

import (
	"os"
	"testing"

	"github.com/wisteriahaven/wisteriahaven/internal/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.Apply()
	fixedseed.Checks(8)
	os.Exit(m.Run())
}
