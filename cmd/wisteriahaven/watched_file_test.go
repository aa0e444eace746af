package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestWatchedFileNoticesEachWriteOnce(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	w := watchedFile{path: path}
	is.True(!w.changed()) // there is none
	is.NoErr(os.WriteFile(path, []byte("{}"), 0o600))
	is.True(w.changed())
	is.True(!w.changed())
	is.NoErr(os.WriteFile(path, []byte("{ }"), 0o600))
	is.True(w.changed())
	is.NoErr(os.Remove(path))
	is.True(!w.changed()) // it is being written anew
}
