package ctl

import (
	"fmt"
	"io"

	"github.com/wisteriahaven/wisteriahaven/document"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// settingsFields are fields that only settings have at their top level.
var settingsFields = []string{"instance", "data_centre", "region", "listen", "platform", "keys", "seeds", "operators", "limits", "intervals"}

// Check validates files of settings or of an estate. It prints each problem
// with its file, line, column and path, and returns ExitUsage when there is
// one.
func Check(files []string, out, errors io.Writer) int {
	code := ExitOK
	for _, file := range files {
		kind, err := checkFile(file)
		if err != nil {
			_, _ = fmt.Fprintln(errors, err)
			code = ExitUsage
			continue
		}
		_, _ = fmt.Fprintf(out, "%s: valid %s\n", file, kind)
	}
	return code
}

func checkFile(file string) (kind string, err error) {
	parsed, err := document.Load(file)
	if err != nil {
		return "", err
	}
	if parsed.HasAnyField(settingsFields) {
		_, err = settings.Load(file)
		return "settings", err
	}
	_, err = estate.Load(file)
	return "estate", err
}
