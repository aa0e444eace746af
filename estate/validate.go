package estate

import "github.com/wisteriahaven/wisteriahaven/document"

// Validate checks a configuration whole: names, duplicates, references and
// ranges. Problems carry paths such as "services[0].models[1]", no lines.
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
