package estate

import "github.com/wisteriahaven/wisteriahaven/document"

// Validate checks the names, duplicates, references and ranges of a whole
// configuration. Problems carry paths such as "services[0].models[1]", no lines.
func Validate(configuration *Configuration) document.Problems {
	check := newValidator(configuration)
	check.places()
	check.firms()
	check.clientAccounts()
	check.models()
	check.services()
	check.rules()
	check.backendServers()
	check.drains()
	check.shifts()
	return check.problems
}
