package command

import (
	"reflect"

	"github.com/wisteriahaven/wisteriahaven/estate"
)

// collection is one list of the configuration.
type collection struct {
	// kind is the singular that set and diff use.
	kind  string
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

// objectName names one element; drains and shifts are named by their content.
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
