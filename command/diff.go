package command

import (
	"reflect"
	"slices"
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/estate"
)

// field is the path and value of one field of an object, as text.
type field struct {
	path  string
	value string
}

// object is a named object, flattened to a list of its fields.
type object struct {
	name   string
	fields []field
}

func diffFile(command *Diff, source Source, files Files) (Result, error) {
	content, err := files.content(command.File)
	if err != nil {
		return Result{}, err
	}
	next, err := replacement(command.File.String(), content, source.Configuration)
	if err != nil {
		return Result{}, err
	}
	return Result{Table: Difference(source.Configuration, next)}, nil
}

// Equal reports whether two configurations declare the same objects.
func Equal(before, after *estate.Configuration) bool {
	return len(Difference(before, after).Rows) == 0
}

// Difference lists the objects that were added, removed and changed, by kind
// and name. The order of objects in the configurations does not matter.
func Difference(before, after *estate.Configuration) *Table {
	table := &Table{Columns: columns("change", "kind", "name", "field", "before", "after")}
	for _, collection := range collections {
		old := flatten(collection.list(before))
		current := flatten(collection.list(after))
		for _, item := range current {
			previous, existed := find(old, item.name)
			if !existed {
				table.addChange("added", collection.kind, item.name, field{}, field{})
				continue
			}
			table.addChanges(collection.kind, previous, item)
		}
		for _, item := range old {
			if _, exists := find(current, item.name); !exists {
				table.addChange("removed", collection.kind, item.name, field{}, field{})
			}
		}
	}
	return table
}

func find(sorted []object, name string) (object, bool) {
	index, found := slices.BinarySearchFunc(sorted, name, func(o object, name string) int {
		if o.name < name {
			return -1
		}
		if o.name > name {
			return 1
		}
		return 0
	})
	if !found {
		return object{}, false
	}
	return sorted[index], true
}

// addChanges adds a row for each field that differs.
func (t *Table) addChanges(kind string, before, after object) {
	for _, current := range after.fields {
		index := slices.IndexFunc(before.fields, func(f field) bool { return f.path == current.path })
		if index < 0 {
			t.addChange("changed", kind, after.name, field{path: current.path}, current)
		} else if before.fields[index].value != current.value {
			t.addChange("changed", kind, after.name, before.fields[index], current)
		}
	}
	for _, previous := range before.fields {
		if !slices.ContainsFunc(after.fields, func(f field) bool { return f.path == previous.path }) {
			t.addChange("changed", kind, after.name, previous, field{})
		}
	}
}

func (t *Table) addChange(change, kind, name string, before, after field) {
	path := after.path
	if path == "" {
		path = before.path
	}
	t.Rows = append(t.Rows, Row{textCell(change), textCell(kind), textCell(name), textCell(path), textCell(before.value), textCell(after.value)})
}

// flatten returns the objects of a list, sorted by name.
func flatten(list reflect.Value) []object {
	objects := make([]object, list.Len())
	for i := range list.Len() {
		element := list.Index(i)
		objects[i].name = objectName(element)
		flattenInto(&objects[i], "", element)
	}
	slices.SortFunc(objects, func(a, b object) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return objects
}

func flattenInto(target *object, path string, value reflect.Value) {
	if duration, ok := value.Interface().(estate.Duration); ok {
		target.fields = append(target.fields, field{path, duration.Std().String()})
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			flattenInto(target, joinPath(path, jsonName(value.Type().Field(i))), value.Field(i))
		}
	case reflect.Slice:
		flattenSlice(target, path, value)
	case reflect.Int:
		target.fields = append(target.fields, field{path, strconv.FormatInt(value.Int(), 10)})
	case reflect.Bool:
		target.fields = append(target.fields, field{path, strconv.FormatBool(value.Bool())})
	default:
		target.fields = append(target.fields, field{path, value.String()})
	}
}

func flattenSlice(target *object, path string, list reflect.Value) {
	if items, ok := list.Interface().([]string); ok {
		target.fields = append(target.fields, field{path, listCell(items).text})
		return
	}
	for i := range list.Len() {
		flattenInto(target, joinPath(path, objectName(list.Index(i))), list.Index(i))
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
