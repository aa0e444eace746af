package command

import (
	"slices"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Files holds the contents of the files that a command names, identified by the
// name in the command.
type Files []File

// File is the content of one file.
type File struct {
	Name    string `json:"name"`
	Content []byte `json:"content"`
}

// NamedFile returns the name of the command's file, "" when it has none.
func (c *Command) NamedFile() string {
	switch {
	case c.Admit != nil:
		return c.Admit.File.String()
	case c.Apply != nil:
		return c.Apply.File.String()
	case c.Diff != nil:
		return c.Diff.File.String()
	default:
		return ""
	}
}

// content returns the content of the named file. The error is CommandInvalid
// when the request does not hold it.
func (f Files) content(name Name) ([]byte, error) {
	index := slices.IndexFunc(f, func(file File) bool { return file.Name == name.String() })
	if index < 0 {
		return nil, errorAt(fault.CommandInvalid, name.Pos, "the content of \""+name.String()+"\" was not sent")
	}
	return f[index].Content, nil
}
