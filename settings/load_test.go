package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/document"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

const examples = "../examples/*/instances/*.json"

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob(examples)
	is.NoErr(err)
	is.Equal(len(files), 17) // 9 in Bavaria, 8 in Portugal
	for _, file := range files {
		loaded, err := settings.Load(file)
		is.NoErr(err)
		is.Equal(loaded.Instance+".json", filepath.Base(file))
	}
}

// TestProblems changes one line of a valid file and expects one problem, reported for that line.
func TestProblems(t *testing.T) {
	file := "../examples/bavaria/instances/kempten-1-a.json"
	valid, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, old, replacement, path, reason string }{
		{"unknown field", `"region": "Schwaben",`, `"region": "Schwaben", "regoin": "x",`, "regoin", "unknown field"},
		{"duplicate field", `"region": "Schwaben",`, `"region": "Schwaben", "region": "x",`, "region", "given twice"},
		{"missing", `"instance": "kempten-1-a",`, ``, "instance", "missing"},
		{"wrong type", `"instance": "kempten-1-a"`, `"instance": 3`, "instance", "must be a string; found the number 3"},
		{"no unit", `"gossip": "500ms"`, `"gossip": 500`, "intervals.gossip", "with a unit"},
		{"wrong unit", `"gossip": "500ms"`, `"gossip": "500 parsecs"`, "intervals.gossip", "must have a unit"},
		{"host name", `"127.0.0.1:8080"`, `"localhost:8080"`, "listen.callers", "IP address"},
		{"address twice", `"callers": "127.0.0.1:8080"`, `"callers": "127.0.0.1:8083"`, "listen.peers", "already"},
		{"role", `"role": "read"`, `"role": "root"`, "operators[0].role", "read, operate or admit"},
		{"short secret", `"id": "cursor-1", "secret": "`, `"id": "cursor-1", "secret": "ab", "x": "`, "keys.cursor.keys[0].x", "unknown field"},
		{"active key", `"active": "peer-1"`, `"active": "peer-2"`, "keys.peer.active", "no key"},
		{"null", `"data_centre": "kempten-1",`, `"data_centre": null,`, "data_centre", "null"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(string(valid), test.old))
			changed := strings.Replace(string(valid), test.old, test.replacement, 1)
			_, err := settings.Parse(file, []byte(changed))
			var problems document.Problems
			is.True(errors.As(err, &problems))
			is.Equal(len(problems), 1)
			is.Equal(problems[0].Path, test.path)
			is.True(strings.Contains(problems[0].Reason, test.reason))
			is.True(fault.HasCode(err, fault.SettingsInvalid))
			is.Equal(problems[0].Line, lineOf(string(valid), test))
		})
	}
}

// lineOf returns the line on which a case expects its problem: the line of the replaced text, of
// the enclosing object for a missing field, or of the second field with an address.
func lineOf(valid string, test struct{ name, old, replacement, path, reason string }) int {
	switch test.name {
	case "missing":
		return 1 + strings.Count(valid[:strings.Index(valid, "{")], "\n")
	case "address twice":
		return 1 + strings.Count(valid[:strings.Index(valid, `"peers": `)], "\n")
	}
	return 1 + strings.Count(valid[:strings.Index(valid, test.old)], "\n")
}

func TestEverySyntaxErrorHasALine(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse("x.json", []byte("{\n\"instance\" \"a\"}"))
	var problems document.Problems
	is.True(errors.As(err, &problems))
	is.Equal(problems[0].Line, 2)
}

// FuzzParse checks that no input causes a panic and that every problem has a position and a reason.
func FuzzParse(f *testing.F) {
	valid, err := os.ReadFile("../examples/bavaria/instances/kempten-1-a.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte(`{"keys": {"cursor": {"keys": [{}]}}, "listen": [], "intervals": {"gossip": "-1s"}}`))
	f.Add([]byte(`{"instance": "a", "instance": {}, "seeds": [[], {"instance": 1e999}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Parse("fuzz.json", data)
		if err == nil {
			return
		}
		var problems document.Problems
		if !errors.As(err, &problems) || len(problems) == 0 {
			t.Fatalf("the error is not document.Problems: %v", err)
		}
		for _, problem := range problems {
			if problem.Line < 1 || problem.Column < 1 || problem.Reason == "" {
				t.Fatalf("a problem without a position or reason: %v", problem)
			}
		}
	})
}
