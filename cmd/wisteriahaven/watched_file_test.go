package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestWatchedFileReportsEachWriteOnce(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	w := watchedFile{path: path}
	is.True(!w.changed()) // the file does not exist yet
	is.NoErr(os.WriteFile(path, []byte("{}"), 0o600))
	is.True(w.changed())
	is.True(!w.changed())
	is.NoErr(os.WriteFile(path, []byte("{ }"), 0o600))
	is.True(w.changed())
	is.NoErr(os.Remove(path))
	is.True(!w.changed()) // a missing file may be one that is being replaced
}
