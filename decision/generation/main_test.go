package generation_test

import (
	"flag"
	"os"
	"testing"

	"github.com/wisteriahaven/wisteriahaven/internal/fixedseed"
)

// defaultChecks is the number of cases without -rapid.checks.
const defaultChecks = "2000"

func TestMain(m *testing.M) {
	fixedseed.Apply()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		_ = flag.Set("rapid.checks", defaultChecks)
	}
	os.Exit(m.Run())
}
