package document

import (
	"bytes"
	"os"
	"regexp"
	"slices"
	"strconv"

	"github.com/tailscale/hujson"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// maxBytes is the maximum size of a document.
const maxBytes = 16 << 20

// Document is one parsed document.
type Document struct {
	file string
	data []byte
	root hujson.Value
	// offsets holds the byte offset of every value and field name by its path.
	offsets  map[string]int
	problems Problems
}

// Load parses the document in a file. The error is Problems, or a *fault.Error
// of code SettingsInvalid when the file can't be read.
func Load(path string) (*Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, "document", "the file can't be read", err)
	}
	return Parse(path, data)
}

// Parse parses a document. The file name appears in problems only.
func Parse(file string, data []byte) (*Document, error) {
	if len(data) > maxBytes {
		return nil, Problems{{File: file, Reason: "the document is over " + strconv.Itoa(maxBytes) + " bytes"}}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, Problems{syntaxProblem(file, err)}
	}
	return &Document{file: file, data: data, root: root, offsets: make(map[string]int)}, nil
}

var syntaxPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (?s)(.*)$`)

func syntaxProblem(file string, err error) Problem {
	match := syntaxPosition.FindStringSubmatch(err.Error())
	if match == nil {
		return Problem{File: file, Reason: err.Error()}
	}
	line, _ := strconv.Atoi(match[1])
	column, _ := strconv.Atoi(match[2])
	return Problem{File: file, Line: line, Column: column, Reason: match[3]}
}

// Decode fills target, a pointer to a struct, and returns all problems found.
func (d *Document) Decode(target any) Problems {
	d.problems = nil
	decodeInto(d, target)
	return d.Locate(d.problems)
}

// Locate fills in the file and position of problems by their paths. A path
// that is not in the document gets the position of its nearest parent.
func (d *Document) Locate(problems Problems) Problems {
	for i := range problems {
		problems[i].File = d.file
		problems[i].Line, problems[i].Column = d.position(problems[i].Path)
	}
	return problems
}

func (d *Document) position(path string) (line, column int) {
	offset, found := d.offsets[path]
	for !found && path != "" {
		path = parent(path)
		offset, found = d.offsets[path]
	}
	line = 1 + bytes.Count(d.data[:offset], []byte("\n"))
	column = offset - bytes.LastIndexByte(d.data[:offset], '\n')
	return line, column
}

// parent returns the path without its last element.
func parent(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

// HasAnyField reports whether the document is an object that has at least one of
// the named fields.
func (d *Document) HasAnyField(names []string) bool {
	object, ok := d.root.Value.(*hujson.Object)
	if !ok {
		return false
	}
	return slices.ContainsFunc(object.Members, func(member hujson.ObjectMember) bool {
		return slices.Contains(names, member.Name.Value.(hujson.Literal).String())
	})
}
