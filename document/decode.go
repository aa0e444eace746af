package document

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

func decodeInto(d *Document, target any) {
	d.decode("", d.root, reflect.ValueOf(target).Elem())
}

// decode fills target from one value of the document.
func (d *Document) decode(path string, value hujson.Value, target reflect.Value) {
	if _, seen := d.offsets[path]; !seen {
		d.offsets[path] = value.StartOffset
	}
	if value.Value.Kind() == 'n' {
		d.problems.Add(path, "must not be null")
		return
	}
	if unmarshaler, ok := target.Addr().Interface().(json.Unmarshaler); ok {
		d.unmarshal(path, value, unmarshaler)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, value, target)
	case reflect.Slice:
		d.decodeSlice(path, value, target)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decode(path, value, target.Elem())
	default:
		d.decodeLiteral(path, value, target)
	}
}

func (d *Document) unmarshal(path string, value hujson.Value, target json.Unmarshaler) {
	standard := value.Clone()
	standard.Standardize()
	if err := target.UnmarshalJSON(standard.Pack()); err != nil {
		d.problems.Add(path, fault.From(err).Reason)
	}
}

func (d *Document) decodeStruct(path string, value hujson.Value, target reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.problems.Add(path, "must be an object; found "+kindName(value))
		return
	}
	fields := fieldsOf(target.Type())
	seen := make(map[string]bool, len(object.Members))
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := join(path, name)
		if _, known := d.offsets[memberPath]; !known {
			d.offsets[memberPath] = member.Name.StartOffset
		}
		index, known := fields[name]
		switch {
		case seen[name]:
			d.offsets[memberPath] = member.Name.StartOffset
			d.problems.Add(memberPath, "the field is given twice")
		case !known:
			d.problems.Add(memberPath, "unknown field")
		default:
			d.decode(memberPath, member.Value, target.Field(index))
		}
		seen[name] = true
	}
}

// fieldsOf maps the JSON names of a struct's fields to their indexes.
func fieldsOf(structType reflect.Type) map[string]int {
	fields := make(map[string]int, structType.NumField())
	for i := range structType.NumField() {
		name, _, _ := strings.Cut(structType.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func (d *Document) decodeSlice(path string, value hujson.Value, target reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.problems.Add(path, "must be an array; found "+kindName(value))
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decode(path+"["+strconv.Itoa(i)+"]", element, target.Index(i))
	}
}

func (d *Document) decodeLiteral(path string, value hujson.Value, target reflect.Value) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || json.Unmarshal(literal, target.Addr().Interface()) != nil {
		d.problems.Add(path, "must be "+typeName(target.Kind())+"; found "+kindName(value))
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// typeName describes the values that a field accepts.
func typeName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number of at least 0"
	default:
		return "a whole number"
	}
}

// kindName describes the value in the document.
func kindName(value hujson.Value) string {
	switch value.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case 't', 'f':
		return "true or false"
	default:
		return "the number " + string(value.Value.(hujson.Literal))
	}
}
