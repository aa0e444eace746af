package command

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// objectPath is the parsed path of a set command: kind/name/field.
type objectPath struct {
	kind  string
	name  string
	field string
}

// settableKinds lists the kinds whose fields set may change.
const settableKinds = "firm, client-account, model, service, rule, backend-server"

func (s *Set) path() (objectPath, error) {
	parts := strings.Split(s.Path.String(), "/")
	if len(parts) != 3 {
		return objectPath{}, errorAt(fault.CommandSyntax, s.Path.Pos, "unexpected \""+s.Path.String()+"\"; expected <kind>/<name>/<field>")
	}
	return objectPath{parts[0], parts[1], parts[2]}, nil
}

// needsAdmit reports whether the command changes who is admitted.
func (s *Set) needsAdmit() bool {
	path, err := s.path()
	return err == nil && (path.kind == "firm" || path.kind == "rule" || path.field == "key_hashes" || path.field == "firm")
}

func set(command *Set, next *estate.Configuration) error {
	path, err := command.path()
	if err != nil {
		return err
	}
	element, err := findElement(command, path, next)
	if err != nil {
		return err
	}
	field, err := findField(command, path, element)
	if err != nil {
		return err
	}
	return command.Value.assign(command.Path, path.field, field)
}

func findElement(command *Set, path objectPath, next *estate.Configuration) (reflect.Value, error) {
	if !strings.Contains(", "+settableKinds+",", ", "+path.kind+",") {
		return reflect.Value{}, errorAt(fault.CommandSyntax, command.Path.Pos, "unexpected kind \""+path.kind+"\"; expected one of "+settableKinds)
	}
	for _, collection := range collections {
		if collection.kind != path.kind {
			continue
		}
		list := collection.list(next)
		for i := range list.Len() {
			if objectName(list.Index(i)) == path.name {
				return list.Index(i), nil
			}
		}
	}
	return reflect.Value{}, errorAt(fault.CommandInvalid, command.Path.Pos, "no "+path.kind+" is named \""+path.name+"\"")
}

// findField resolves the dotted field path in an element.
func findField(command *Set, path objectPath, element reflect.Value) (reflect.Value, error) {
	if path.field == "name" {
		return reflect.Value{}, errorAt(fault.CommandInvalid, command.Path.Pos, "a name can't be changed; declare another object")
	}
	current := element
	for _, part := range strings.Split(path.field, ".") {
		fields := fieldNames(current)
		field, found := fieldByName(current, part)
		if !found {
			return reflect.Value{}, errorAt(fault.CommandInvalid, command.Path.Pos, "unexpected field \""+part+"\"; expected one of "+strings.Join(fields, ", "))
		}
		current = field
	}
	return current, nil
}

// jsonName returns the name of a field in JSON documents.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func fieldNames(value reflect.Value) []string {
	if value.Kind() != reflect.Struct {
		return []string{"no further field"}
	}
	var names []string
	for i := range value.NumField() {
		names = append(names, jsonName(value.Type().Field(i)))
	}
	return names
}

func fieldByName(value reflect.Value, name string) (reflect.Value, bool) {
	if value.Kind() != reflect.Struct {
		return reflect.Value{}, false
	}
	for i := range value.NumField() {
		if jsonName(value.Type().Field(i)) == name {
			return value.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// assign converts the value to the type of a field and sets the field.
func (v Value) assign(path Name, name string, field reflect.Value) error {
	typeError := func(expected string) error {
		return errorAt(fault.CommandInvalid, path.Pos, "the field "+name+" takes "+expected)
	}
	if field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.String {
		if v.Single != nil {
			return typeError("a list, such as [a, b]")
		}
		field.Set(reflect.ValueOf(v.items()))
		return nil
	}
	if v.Single == nil {
		return typeError("a single value, not a list")
	}
	text := unquote(*v.Single)
	switch target := field.Addr().Interface().(type) {
	case *estate.Duration:
		if target.UnmarshalJSON([]byte(strconv.Quote(text))) != nil {
			return typeError("a duration with its unit, such as 30s")
		}
		return nil
	default:
		return assignScalar(field, text, typeError)
	}
}

func assignScalar(field reflect.Value, text string, typeError func(string) error) error {
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Int:
		number, err := strconv.Atoi(text)
		if err != nil {
			return typeError("a whole number")
		}
		field.SetInt(int64(number))
	case reflect.Bool:
		if text != "true" && text != "false" {
			return typeError("true or false")
		}
		field.SetBool(text == "true")
	default:
		return typeError("no value from set; use apply")
	}
	return nil
}

func (v Value) items() []string {
	items := make([]string, len(v.List))
	for i, item := range v.List {
		items[i] = unquote(item)
	}
	return items
}
