package command

import (
	"reflect"

	"github.com/wisteriahaven/wisteriahaven/estate"
)

// collection describes one list of the configuration.
type collection struct {
	// kind is the singular name that set and diff use.
	kind string
	// field is the name of the Go field that holds the list.
	field string
}

var collections = []collection{
	{"region", "Regions"},
	{"data-centre", "DataCentres"},
	{"firm", "Firms"},
	{"client-account", "ClientAccounts"},
	{"model", "Models"},
	{"service", "Services"},
	{"rule", "Rules"},
	{"backend-server", "BackendServers"},
	{"drain", "Drains"},
	{"shift", "Shifts"},
}

// list returns the collection's slice in a configuration.
func (c collection) list(configuration *estate.Configuration) reflect.Value {
	return reflect.ValueOf(configuration).Elem().FieldByName(c.field)
}

// objectName returns the name of an element. Drains and shifts have no name
// field and are named by their content.
func objectName(element reflect.Value) string {
	switch object := element.Interface().(type) {
	case estate.Drain:
		return object.Kind + "/" + object.Name
	case estate.Shift:
		return object.Model + "/" + object.From + "/" + object.To
	default:
		return element.FieldByName("Name").String()
	}
}
