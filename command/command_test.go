package command_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/command"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

func bavaria(t testing.TB) *estate.Configuration {
	t.Helper()
	configuration, err := estate.Load("../examples/bavaria/estate.json")
	if err != nil {
		t.Fatal(err)
	}
	configuration.Revision = 7
	return &configuration
}

func query(t *testing.T, text string, source command.Source) (command.Result, error) {
	t.Helper()
	parsed, err := command.ParseOne(text)
	if err != nil {
		return command.Result{}, err
	}
	return command.Query(parsed, source, nil)
}

func names(result command.Result) string {
	var list []string
	for _, row := range result.Table.Rows {
		list = append(list, row[0].String())
	}
	return strings.Join(list, " ")
}

func TestReferenceIsCurrent(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/COMMANDS.md")
	is.NoErr(err)
	is.Equal(string(page), command.Reference()) // go run ./cmd/wisteriahaven ctl reference > docs/COMMANDS.md
}

func TestEveryExampleOfTheReferenceParses(t *testing.T) {
	for _, line := range strings.Split(command.Reference(), "\n") {
		_, example, found := strings.Cut(line, "Example: `")
		if !found {
			continue
		}
		t.Run(example, func(t *testing.T) {
			is := is.New(t)
			_, err := command.ParseOne(strings.TrimSuffix(example, "`"))
			is.NoErr(err)
		})
	}
}

func TestShow(t *testing.T) {
	source := command.Source{Configuration: bavaria(t)}
	cases := []struct{ text, want string }{
		{"show regions", "Oberbayern Franken Schwaben"},
		{"show data-centres where region = Franken sort name desc", "wuerzburg-1 nuernberg-1"},
		{"show client-accounts where weight >= 3 and firm != landesamt", "kaufhaus-isar-theke"},
		{"show client-accounts sort tokens_per_second desc limit 2", "aussendienst-franken aussendienst-oberbayern"},
		{"show backend-servers where version = 2026-03 and region = Schwaben", "auskunft-20 auskunft-25"},
		{"show services where operations = write-off", "bestand"},
		{"show services where deadline > 1m", "assistent"},
		{"show versions where default = false", "auskunft"},
		{"show rules where name ~ \"everywhere\"", "landesamt-everywhere drogerie-main-everywhere"},
		{"show drains", ""},
	}
	for _, test := range cases {
		t.Run(test.text, func(t *testing.T) {
			is := is.New(t)
			result, err := query(t, test.text, source)
			is.NoErr(err)
			is.Equal(names(result), test.want)
			for _, row := range result.Table.Rows {
				is.Equal(len(row), len(result.Table.Columns))
			}
		})
	}
}

func TestSyntaxErrorsNamePlaceAndExpectation(t *testing.T) {
	source := command.Source{Configuration: bavaria(t)}
	cases := []struct{ text, field, reason string }{
		{"shwo regions", "line 1, column 1", "show"},
		{"show", "line 1, column 5", "expected a name"},
		{"show planets", "line 1, column 6", "client-accounts"},
		{"show rules where", "line 1, column 17", "expected"},
		{"show rules where colour = red", "line 1, column 18", "expected a column: name"},
		{"show rules limit many", "line 1, column 18", "whole number"},
		{"explain weather x", "line 1, column 9", "generation"},
		{"\n\n drain instance", "line 3, column 16", "expected a name"},
		{"shift 20% of model auskunft to Franken", "line 1, column 29", "from"},
		{"show rules show firms", "line 1, column 12", "end of the command"},
		{"set rule/a/b \"x", "line 1, column 14", ""},
		{"help juggle", "line 1, column 1", "undrain"},
	}
	for _, test := range cases {
		t.Run(test.text, func(t *testing.T) {
			is := is.New(t)
			_, err := query(t, test.text, source)
			is.True(fault.HasCode(err, fault.CommandSyntax))
			is.Equal(fault.From(err).Field, test.field)
			is.True(strings.Contains(fault.From(err).Reason, test.reason)) // names what was expected
			t.Log(err)
		})
	}
}

func change(t *testing.T, current *estate.Configuration, text string, files ...command.File) (*estate.Configuration, error) {
	t.Helper()
	parsed, err := command.ParseOne(text)
	if err != nil {
		t.Fatal(err)
	}
	return command.Change(parsed, current, files)
}

func TestChange(t *testing.T) {
	current := bavaria(t)
	cases := []struct{ text, want string }{
		{"drain backend-server auskunft-07", "added drain backend-server/auskunft-07   "},
		{"drain data-centre kempten-1 if revision 7", "added drain data-centre/kempten-1   "},
		{"undrain instance muenchen-1-a", ""},
		{"shift 20% of model auskunft from Oberbayern to Franken", "added shift auskunft/Oberbayern/Franken   "},
		{"shift 0 of model auskunft from Oberbayern to Franken", ""},
		{"set client-account/jahresbericht/limits.requests_per_second 10", "changed client-account jahresbericht limits.requests_per_second 5 10"},
		{"set service/assistent/deadline 2m", "changed service assistent deadline 5m0s 2m0s"},
		{"set rule/kaufhaus-isar-south/regions [Oberbayern, \"Franken\"]", "changed rule kaufhaus-isar-south regions Oberbayern,Schwaben Oberbayern,Franken"},
		{"set rule/kaufhaus-isar-south/regions []", "changed rule kaufhaus-isar-south regions Oberbayern,Schwaben "},
		{"set backend-server/auskunft-07/checks_fencing false", "changed backend-server auskunft-07 checks_fencing true false"},
	}
	for _, test := range cases {
		t.Run(test.text, func(t *testing.T) {
			is := is.New(t)
			next, err := change(t, current, test.text)
			is.NoErr(err)
			var rows []string
			for _, row := range command.Difference(current, next).Rows {
				var cells []string
				for _, cell := range row {
					cells = append(cells, cell.String())
				}
				rows = append(rows, strings.Join(cells, " "))
			}
			is.Equal(strings.Join(rows, "\n"), test.want)
			is.True(command.Equal(current, bavaria(t))) // the current configuration is not altered
		})
	}
}

func TestChangeIsCheckedWhole(t *testing.T) {
	cases := []struct{ text, reason string }{
		{"drain backend-server auskunft-99", "no backend-server is named"},
		{"shift 20 of model auskunft from Oberbayern to Tirol", "no region is named"},
		{"shift 20 of model orakel from Oberbayern to Franken", "no model is named"},
		{"shift 20 of model auskunft from Franken to Franken", "must differ"},
		{"set client-account/jahresbericht/weight 0", "at least 1"},
		{"set client-account/jahresbericht/weight heavy", "a whole number"},
		{"set client-account/jahresbericht/limits.colour 1", "requests_per_second"},
		{"set client-account/jahresbericht/name x", "can't be changed"},
		{"set client-account/nobody/weight 2", "no client-account is named"},
		{"set service/assistent/deadline 30", "duration with its unit"},
		{"set model/auskunft/default_version 2099-01", "no version of the model"},
		{"set firm/landesamt/max_client_accounts 2", "5 client accounts"},
	}
	for _, test := range cases {
		t.Run(test.text, func(t *testing.T) {
			is := is.New(t)
			_, err := change(t, bavaria(t), test.text)
			is.True(fault.HasCode(err, fault.CommandInvalid))
			is.True(strings.Contains(fault.From(err).Reason, test.reason))
		})
	}
}

func TestAdmitFirm(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("../examples/bavaria/zimt-kosmetik.json")
	is.NoErr(err)
	file := command.File{Name: "zimt.json", Content: content}
	current := bavaria(t)
	next, err := change(t, current, "admit firm from zimt.json", file)
	is.NoErr(err)
	is.Equal(len(next.Firms), len(current.Firms)+1)
	_, err = change(t, next, "admit firm from zimt.json", file)
	is.True(fault.HasCode(err, fault.CommandInvalid)) // the names are already declared
}

func TestAdmitFirmNamesTheLineAtFault(t *testing.T) {
	content, err := os.ReadFile("../examples/bavaria/zimt-kosmetik.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, old, replacement, path, reason string }{
		{"clash", `"name": "zimt-filialen"`, `"name": "jahresbericht"`, "client_accounts[0].name", "declared twice"},
		{"unknown model", `"models": ["auskunft"]`, `"models": ["orakel"]`, "rules[0].models[0]", "no model"},
		{"quota", `"max_client_accounts": 3`, `"max_client_accounts": 1`, "firm.max_client_accounts", "has 2 client accounts"},
		{"no quota", `"max_client_accounts": 3`, `"max_client_accounts": 0`, "firm.max_client_accounts", "quota"},
		{"other firm", `"firm": "zimt-kosmetik"`, `"firm": "landesamt"`, "client_accounts[0].firm", "admitted firm"},
		{"rule for all", `"firms": ["zimt-kosmetik"]`, `"firms": []`, "rules[0].firms", "admitted firm"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			before, after, found := strings.Cut(string(content), test.old)
			is.True(found)
			file := command.File{Name: "zimt.json", Content: []byte(before + test.replacement + after)}
			_, err := change(t, bavaria(t), "admit firm from zimt.json", file)
			is.True(fault.HasCode(err, fault.CommandInvalid))
			is.True(strings.Contains(err.Error(), test.path+": "))
			is.True(strings.Contains(err.Error(), test.reason))
			is.True(strings.Contains(err.Error(), "zimt.json:")) // reports the line
		})
	}
}

func TestApplyKeepsDrainsThatTheFileDoesNotMention(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("../examples/bavaria/estate.json")
	is.NoErr(err)
	drained, err := change(t, bavaria(t), "drain backend-server auskunft-07")
	is.NoErr(err)
	file := command.File{Name: "estate.json", Content: content}
	next, err := change(t, drained, "apply estate.json", file)
	is.NoErr(err)
	is.True(command.Equal(drained, next))
	without := strings.Replace(string(content), `"name": "auskunft-07"`, `"name": "auskunft-77"`, 1)
	next, err = change(t, drained, "apply estate.json", command.File{Name: "estate.json", Content: []byte(without)})
	is.NoErr(err)
	is.Equal(len(next.Drains), 0)
}

func TestExplainGathersOverInstances(t *testing.T) {
	is := is.New(t)
	source := command.Source{Configuration: bavaria(t), Status: dump.Estate{
		Instances: []dump.Instance{
			{Instance: "a", Revision: 7, Decisions: []serving.Decision{{Subject: "r1", Kind: "route", Server: "auskunft-07", Reason: "least loaded"}}},
			{Instance: "b", Revision: 6, Servers: []dump.BackendServer{{Name: "auskunft-07", State: "leaving"}}},
		},
		Missing: []dump.Missing{{Instance: "c", Reason: "timeout"}},
	}}
	result, err := query(t, "explain request r1", source)
	is.NoErr(err)
	is.Equal(result.Table.Rows[0][4].String(), "least loaded")
	is.Equal(len(result.Missing), 1)
	result, err = query(t, "explain backend-server auskunft-07", source)
	is.NoErr(err)
	is.Equal(len(result.Table.Rows), 3) // declared, observed by b, and a's decision
	result, err = query(t, "explain revision 7", source)
	is.NoErr(err)
	is.Equal(len(result.Table.Rows), 2)
	result, err = query(t, "explain client-account kaufhaus-isar-theke", source)
	is.NoErr(err)
	is.Equal(len(result.Table.Rows), 3) // declared and two rules
	_, err = query(t, "explain request r2", source)
	is.True(fault.HasCode(err, fault.NotFound))
}

func TestExplainKeepsTheOrderOfTimes(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 2, 3, 4, 5, 490_000_000, time.UTC)
	source := command.Source{Configuration: bavaria(t), Status: dump.Estate{Instances: []dump.Instance{
		{Instance: "a", Decisions: []serving.Decision{{Subject: "r1", Kind: "second", Time: at.Add(time.Millisecond)}}},
		{Instance: "b", Decisions: []serving.Decision{{Subject: "r1", Kind: "first", Time: at}}},
	}}}
	result, err := query(t, "explain request r1", source)
	is.NoErr(err)
	is.Equal(result.Table.Rows[0][2].String(), "first")
}

func TestRoles(t *testing.T) {
	is := is.New(t)
	for text, role := range map[string]string{
		"show rules":                          "read",
		"diff a":                              "read",
		"drain instance a":                    "operate",
		"apply a":                             "admit",
		"admit firm from a":                   "admit",
		"set client-account/a/weight 1":       "operate",
		"set client-account/a/key_hashes [a]": "admit",
		"set rule/a/regions []":               "admit",
	} {
		parsed, err := command.ParseOne(text)
		is.NoErr(err)
		is.Equal(string(parsed.Role()), role)
	}
}

// FuzzParse checks that no text causes a panic, that every error is a typed
// fault, and that every parsed command can be evaluated without an internal
// fault.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"show client-accounts where firm = landesamt and weight >= 2 sort weight desc limit 5",
		"explain generation 17; drain data-centre kempten-1 --local",
		"shift 20% of model auskunft from Oberbayern to Franken if revision 3",
		"set rule/kaufhaus-isar-south/regions [a, \"b\"]\n# comment\napply x",
		"admit firm from \"a b\"", "release ff", "help show", "set a/b/c \"\\",
	} {
		f.Add(seed)
	}
	configuration := bavaria(f)
	f.Fuzz(func(t *testing.T, text string) {
		script, err := command.Parse(text)
		if err != nil {
			if !fault.HasCode(err, fault.CommandSyntax) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		for _, parsed := range script.Commands {
			files := command.Files{{Name: parsed.NamedFile(), Content: []byte(text)}}
			if parsed.IsChange() {
				_, err = command.Change(parsed, configuration, files)
			} else {
				_, err = command.Query(parsed, command.Source{Configuration: configuration}, files)
			}
			if err != nil && fault.HasCode(err, fault.Internal) {
				t.Fatalf("internal fault: %v", err)
			}
		}
	})
}
