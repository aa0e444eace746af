package estate

import (
	"regexp"
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/document"
)

// namePattern matches the names that the command language and URLs accept without
// quotes.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// ValidName reports whether a name may be declared in the estate.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// validator collects the problems of one configuration.
type validator struct {
	*Configuration
	problems document.Problems
	names    declaredNames
}

// declaredNames holds the declared names of each kind.
type declaredNames struct {
	regions        nameSet
	dataCentres    nameSet
	firms          nameSet
	clientAccounts nameSet
	models         map[string]Model
	versions       nameSet
	services       map[string]Service
	backendServers nameSet
}

type nameSet map[string]bool

func newValidator(configuration *Configuration) *validator {
	names := declaredNames{
		regions:        namesOf(configuration.Regions, func(r Region) string { return r.Name }),
		dataCentres:    namesOf(configuration.DataCentres, func(d DataCentre) string { return d.Name }),
		firms:          namesOf(configuration.Firms, func(f Firm) string { return f.Name }),
		clientAccounts: namesOf(configuration.ClientAccounts, func(a ClientAccount) string { return a.Name }),
		backendServers: namesOf(configuration.BackendServers, func(s BackendServer) string { return s.Name }),
		models:         make(map[string]Model),
		versions:       make(nameSet),
		services:       make(map[string]Service),
	}
	for _, model := range configuration.Models {
		names.models[model.Name] = model
		for _, version := range model.Versions {
			names.versions[version] = true
		}
	}
	for _, service := range configuration.Services {
		names.services[service.Name] = service
	}
	return &validator{Configuration: configuration, names: names}
}

func namesOf[T any](items []T, name func(T) string) nameSet {
	set := make(nameSet, len(items))
	for _, item := range items {
		set[name(item)] = true
	}
	return set
}

// elementPath returns the path of one element of a list.
func elementPath(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }

// name checks that a declared name is valid and that no earlier element has it.
func (v *validator) name(path, name string, seen nameSet) {
	switch {
	case name == "":
		v.problems.Add(path+".name", "missing")
	case !ValidName(name):
		v.problems.Add(path+".name", "\""+name+"\" is not a name: use letters, digits, '.', '_' and '-'")
	case seen[name]:
		v.problems.Add(path+".name", "\""+name+"\" is declared twice")
	}
	seen[name] = true
}

// reference checks that a name is declared.
func (v *validator) reference(path, kind, name string, declared bool) {
	switch {
	case name == "":
		v.problems.Add(path, "missing")
	case !declared:
		v.problems.Add(path, "no "+kind+" is named \""+name+"\"")
	}
}

// atLeast checks that a number is not below its lower bound.
func (v *validator) atLeast(path string, value, minimum int) {
	if value < minimum {
		v.problems.Add(path, "must be at least "+strconv.Itoa(minimum)+"; found "+strconv.Itoa(value))
	}
}
