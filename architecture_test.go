package wisteriahaven_test

import (
	"flag"
	"go/doc"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	architecturePage = "docs/ARCHITECTURE.md"
	packagesMarker   = "<!-- packages -->\n"
)

// update rewrites the table of packages: go test -run TestArchitecture . -update
var update = flag.Bool("update", false, "rewrite the table of packages")

// TestArchitecturePageNamesEveryPackage compares the page's table of packages
// with the first sentences of the package comments.
func TestArchitecturePageNamesEveryPackage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(architecturePage)
	is.NoErr(err)
	text, _, found := strings.Cut(string(page), packagesMarker)
	is.True(found)
	want := text + packagesMarker + packageTable(t)
	if *update {
		is.NoErr(os.WriteFile(architecturePage, []byte(want), 0o644))
		return
	}
	if string(page) != want {
		t.Fatal("the table differs from the packages; run: go test -run TestArchitecture . -update")
	}
}

// packageTable renders one row for each package.
func packageTable(t *testing.T) string {
	t.Helper()
	var rows []string
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.IsDir() {
			return err
		}
		if name := entry.Name(); path != "." && (strings.HasPrefix(name, ".") || name == "tools" || name == "testdata") {
			return filepath.SkipDir
		}
		sentence, found := packageSentence(t, path)
		if found && sentence == "" {
			t.Errorf("package %s has no documentation", path)
		}
		if found {
			rows = append(rows, "| `"+filepath.ToSlash(path)+"` | "+sentence+" |\n")
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	sort.Strings(rows)
	return "\n| package | job |\n| --- | --- |\n" + strings.Join(rows, "")
}

// packageSentence returns the first sentence of the package comment in a
// directory, and whether the directory holds a package.
func packageSentence(t *testing.T, directory string) (string, bool) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	sentence, found := "", false
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") || strings.HasSuffix(file, ".pb.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments|parser.PackageClauseOnly)
		if err != nil {
			t.Fatal(err)
		}
		found = true
		if parsed.Doc != nil {
			sentence = new(doc.Package).Synopsis(parsed.Doc.Text())
		}
	}
	return sentence, found
}
