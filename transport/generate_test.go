package transport_test

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/transport/internal/generated"
)

func TestGeneratedCodeIsCurrent(t *testing.T) {
	is := is.New(t)
	recorded, err := os.ReadFile(generated.ChecksumsFile)
	is.NoErr(err)
	actual, err := generated.Checksums(os.DirFS("."))
	is.NoErr(err)
	is.Equal(string(recorded), actual) // run go generate ./transport
}
