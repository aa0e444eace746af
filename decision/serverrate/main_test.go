package serverrate_test

import (
	"os"
	"testing"

	"github.com/wisteriahaven/wisteriahaven/internal/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.ApplyWithChecks(60)
	os.Exit(m.Run())
}
