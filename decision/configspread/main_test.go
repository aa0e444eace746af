package configspread_test

import (
	"os"
	"testing"

	"github.com/wisteriahaven/wisteriahaven/internal/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.Apply()
	fixedseed.Checks(15)
	os.Exit(m.Run())
}
