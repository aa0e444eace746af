package command

import (
	"slices"
	"strconv"
	"strings"

	"github.com/wisteriahaven/wisteriahaven/document"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Admission is the content of the file that admit firm reads.
type Admission struct {
	Firm           estate.Firm            `json:"firm"`
	ClientAccounts []estate.ClientAccount `json:"client_accounts"`
	Models         []estate.Model         `json:"models"`
	Services       []estate.Service       `json:"services"`
	Rules          []estate.Rule          `json:"rules"`
	BackendServers []estate.BackendServer `json:"backend_servers"`
}

func admit(command *Admit, next *estate.Configuration, files Files) (*estate.Configuration, error) {
	content, err := files.content(command.File)
	if err != nil {
		return nil, err
	}
	parsed, err := document.Parse(command.File.String(), content)
	if err != nil {
		return nil, err
	}
	var admission Admission
	problems := parsed.Decode(&admission)
	if len(problems) > 0 {
		return nil, invalid(problems)
	}
	problems = admission.validate()
	lengthsBefore := listLengths(next)
	admission.addTo(next)
	for _, problem := range estate.Validate(next) {
		problem.Path = admissionPath(problem.Path, lengthsBefore)
		problems = append(problems, problem)
	}
	return next, invalid(parsed.Locate(problems))
}

// validate checks the rules that apply to an admission only.
func (a *Admission) validate() document.Problems {
	var problems document.Problems
	if a.Firm.MaxClientAccounts < 1 {
		problems.Add("firm.max_client_accounts", "missing: an admitted firm needs a quota of client accounts")
	}
	for i, account := range a.ClientAccounts {
		if account.Firm != a.Firm.Name {
			problems.Add("client_accounts["+strconv.Itoa(i)+"].firm", "must be the admitted firm \""+a.Firm.Name+"\"")
		}
	}
	for i, rule := range a.Rules {
		if !slices.Equal(rule.Firms, []string{a.Firm.Name}) {
			problems.Add("rules["+strconv.Itoa(i)+"].firms", "must be only the admitted firm: [\""+a.Firm.Name+"\"]")
		}
	}
	return problems
}

func (a *Admission) addTo(next *estate.Configuration) {
	next.Firms = append(next.Firms, a.Firm)
	next.ClientAccounts = append(next.ClientAccounts, a.ClientAccounts...)
	next.Models = append(next.Models, a.Models...)
	next.Services = append(next.Services, a.Services...)
	next.Rules = append(next.Rules, a.Rules...)
	next.BackendServers = append(next.BackendServers, a.BackendServers...)
}

// listLength is the length of one list before the admission.
type listLength struct {
	name   string
	length int
}

func listLengths(configuration *estate.Configuration) []listLength {
	return []listLength{
		{"firms", len(configuration.Firms)},
		{"client_accounts", len(configuration.ClientAccounts)},
		{"models", len(configuration.Models)},
		{"services", len(configuration.Services)},
		{"rules", len(configuration.Rules)},
		{"backend_servers", len(configuration.BackendServers)},
	}
}

// admissionPath converts a path in the whole configuration to the path in the
// admission file. Paths of objects that existed before are unchanged.
func admissionPath(path string, lengthsBefore []listLength) string {
	list, rest, found := strings.Cut(path, "[")
	if !found {
		return path
	}
	digits, field, _ := strings.Cut(rest, "]")
	index, err := strconv.Atoi(digits)
	for _, before := range lengthsBefore {
		if err != nil || before.name != list || index < before.length {
			continue
		}
		if list == "firms" {
			return "firm" + field
		}
		return list + "[" + strconv.Itoa(index-before.length) + "]" + field
	}
	return path
}

func apply(command *Apply, current *estate.Configuration, files Files) (*estate.Configuration, error) {
	content, err := files.content(command.File)
	if err != nil {
		return nil, err
	}
	return replacement(command.File.String(), content, current)
}

// replacement parses a whole configuration. If the file has no list of drains or
// no list of shifts, those of the current configuration are kept where their
// objects still exist.
func replacement(file string, content []byte, current *estate.Configuration) (*estate.Configuration, error) {
	next, err := estate.Parse(file, content)
	if err != nil {
		return nil, err
	}
	if next.Revision != 0 {
		return nil, &fault.Error{Code: fault.CommandInvalid, Field: "revision", Reason: "a file has no revision; use if revision " + strconv.FormatUint(next.Revision, 10)}
	}
	next.Revision = current.Revision
	if next.Drains == nil {
		keepValidDrains(&next, current.Drains)
	}
	if next.Shifts == nil {
		keepValidShifts(&next, current.Shifts)
	}
	return &next, nil
}

func keepValidDrains(next *estate.Configuration, drains []estate.Drain) {
	for _, drain := range drains {
		next.Drains = append(next.Drains, drain)
		if len(estate.Validate(next)) > 0 {
			next.Drains = next.Drains[:len(next.Drains)-1]
		}
	}
}

func keepValidShifts(next *estate.Configuration, shifts []estate.Shift) {
	for _, shift := range shifts {
		next.Shifts = append(next.Shifts, shift)
		if len(estate.Validate(next)) > 0 {
			next.Shifts = next.Shifts[:len(next.Shifts)-1]
		}
	}
}
