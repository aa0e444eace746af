package estate_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/document"
	"github.com/wisteriahaven/wisteriahaven/estate"
)

func TestExampleEstatesHaveTheExpectedSizes(t *testing.T) {
	is := is.New(t)
	bavaria, err := estate.Load("../examples/bavaria/estate.json")
	is.NoErr(err)
	portugal, err := estate.Load("../examples/portugal/estate.json")
	is.NoErr(err)
	is.Equal(serversOf(bavaria), map[string]int{"assistent": 25, "bestand": 3})
	is.Equal(serversOf(portugal), map[string]int{"redacao-respostas": 20, "faturacao": 3})
	is.Equal(len(bavaria.ClientAccounts), 10)
	is.Equal(len(portugal.ClientAccounts), 10)
	is.Equal(bavaria.Services[0].Recovery.Objective, estate.ObjectiveLatency)
	is.Equal(portugal.Services[0].Recovery.Objective, estate.ObjectiveCost)
}

func serversOf(configuration estate.Configuration) map[string]int {
	counts := make(map[string]int)
	for _, server := range configuration.BackendServers {
		counts[server.Service]++
	}
	return counts
}

// TestProblems makes one value of the example invalid and expects a problem with
// the path and on the line of the change.
func TestProblems(t *testing.T) {
	valid, err := os.ReadFile("../examples/bavaria/estate.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, old, replacement, path, reason string }{
		{"unknown field", `"name": "lookup", "idempotent": true`, `"name": "lookup", "idempotnet": true`, "services[1].operations[2].idempotnet", "unknown field"},
		{"dangling region", `"home_region": "Franken"`, `"home_region": "Tirol"`, "firms[2].home_region", `no region is named "Tirol"`},
		{"dangling firm in a rule", `"firms": ["landesamt"]`, `"firms": ["landrat"]`, "rules[0].firms[0]", "no firm"},
		{"duplicate", `"name": "muenchen-2"`, `"name": "muenchen-1"`, "data_centres[1].name", "declared twice"},
		{"bare number", `"deadline": "5m"`, `"deadline": 300`, "services[0].deadline", "unit"},
		{"default version", `"default_version": "2026-06"`, `"default_version": "2026-07"`, "models[0].default_version", "no version of the model"},
		{"objective", `"objective": "latency"`, `"objective": "speed"`, "services[0].recovery.objective", "latency or cost"},
		{"claim retention", `"idempotent": false, "claim_retention": "24h"`, `"idempotent": false`, "services[1].operations[0].claim_retention", "missing"},
		{"address", `"address": "127.0.0.1:9003"`, `"address": "127.0.0.1:9002"`, "backend_servers[2].address", "already"},
		{"quota", `"home_region": "Franken", "max_client_accounts": 6`, `"home_region": "Franken", "max_client_accounts": 2`, "firms[2].max_client_accounts", "3 client accounts"},
		{"name", `{"name": "landesamt-everywhere"`, `{"name": "landesamt everywhere"`, "rules[0].name", "is not a name"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			before, after, found := strings.Cut(string(valid), test.old)
			is.True(found)
			_, err := estate.Parse("estate.json", []byte(before+test.replacement+after))
			var problems document.Problems
			is.True(errors.As(err, &problems))
			found = false
			for _, problem := range problems {
				if problem.Path == test.path {
					found = true
					is.True(strings.Contains(problem.Reason, test.reason))
					is.Equal(problem.Line, 1+strings.Count(before, "\n"))
				}
			}
			is.True(found)
		})
	}
}

// FuzzParse checks that no input causes a panic and that every problem of an
// invalid document has a position.
func FuzzParse(f *testing.F) {
	valid, err := os.ReadFile("../examples/bavaria/estate.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte(`{"firms": [{"name": "a", "home_region": "b"}], "rules": [{"name": "r", "firms": ["*", "c"]}], "shifts": [{}]}`))
	f.Add([]byte(`{"client_accounts": [{"limits": {"requests_per_second": -1}}], "services": [{"deadline": "9999999h"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := estate.Parse("fuzz.json", data)
		if err == nil {
			return
		}
		var problems document.Problems
		if !errors.As(err, &problems) || len(problems) == 0 {
			t.Fatalf("error is not document.Problems: %v", err)
		}
		for _, problem := range problems {
			if problem.Line < 1 || problem.Column < 1 || problem.Reason == "" {
				t.Fatalf("problem without a position or reason: %v", problem)
			}
		}
	})
}
