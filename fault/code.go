package fault

import "net/http"

// Code names one kind of failure. Codes are stable: clients switch on them.
type Code string

// Definition describes one code in the catalogue.
type Definition struct {
	// Status is the HTTP status sent to callers and operators.
	Status int
	// Meaning states in one sentence what happened.
	Meaning string
	// Action states what an operator or caller should do.
	Action string
}

// definitions is the catalogue, merged from the map of each codes_*.go file.
var definitions = mergeDefinitions(
	requestDefinitions,
	platformDefinitions,
	forwardingDefinitions,
	admissionDefinitions,
	generationDefinitions,
	callDefinitions,
	routingDefinitions,
	controlDefinitions,
	operatorDefinitions,
	rolloutDefinitions,
)

func mergeDefinitions(parts ...map[Code]Definition) map[Code]Definition {
	merged := make(map[Code]Definition)
	for _, part := range parts {
		for code, definition := range part {
			merged[code] = definition
		}
	}
	return merged
}

// Lookup returns the definition of a code. An unknown code is an internal
// error.
func Lookup(code Code) Definition {
	if definition, ok := definitions[code]; ok {
		return definition
	}
	return Definition{Status: http.StatusInternalServerError, Meaning: "undocumented failure"}
}

// Catalogue returns a copy of every definition, keyed by code.
func Catalogue() map[Code]Definition {
	return mergeDefinitions(definitions)
}
