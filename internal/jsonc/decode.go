package jsonc

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// ValueUnmarshaler is implemented by types that decode a value of any kind, as JSON without comments, for example to keep what is
// valid in it.
type ValueUnmarshaler interface{ UnmarshalValue(text []byte) error }

// Decode decodes the document into the struct that target points to. Fields are matched by
// their json tags, case-sensitively. A value that does not fit its field adds a finding.
func (d *Document) Decode(target any) {
	d.decode(d.root, reflect.ValueOf(target).Elem())
}

func (d *Document) decode(value hujson.Value, target reflect.Value) {
	switch u := target.Addr().Interface().(type) {
	case ValueUnmarshaler:
		d.unmarshalValue(value, u)
		return
	case json.Unmarshaler:
		d.unmarshal(value, u)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(value, target)
	case reflect.Slice:
		d.decodeSlice(value, target)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decode(value, target.Elem())
	default:
		d.decodeLiteral(value, target)
	}
}

func (d *Document) unmarshalValue(value hujson.Value, target ValueUnmarshaler) {
	standard := value.Clone()
	standard.Standardize()
	if err := target.UnmarshalValue(standard.Pack()); err != nil {
		d.addDecodeError(value, err.Error())
	}
}

func (d *Document) unmarshal(value hujson.Value, target json.Unmarshaler) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		d.addTypeError(value, "a single value")
		return
	}
	if err := target.UnmarshalJSON(literal); err != nil {
		d.addDecodeError(value, err.Error())
	}
}

func (d *Document) decodeStruct(value hujson.Value, target reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.addTypeError(value, "an object")
		return
	}
	fields := d.fieldIndexes(target.Type())
	seen := make([]bool, target.NumField())
	for _, m := range object.Members {
		name := memberName(m)
		index, known := fields[name]
		switch {
		case !known:
			d.addFinding(m.Name.StartOffset, fmt.Sprintf("unknown field %q, expected %s", name, expectedFields(target.Type())))
		case seen[index]:
			d.addFinding(m.Name.StartOffset, fmt.Sprintf("field %q stands twice, expected once", name))
		default:
			seen[index] = true
			d.decode(m.Value, target.Field(index))
		}
	}
}

func (d *Document) decodeSlice(value hujson.Value, target reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.addTypeError(value, "a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decode(element, target.Index(i))
	}
}

func (d *Document) decodeLiteral(value hujson.Value, target reflect.Value) {
	literal, _ := value.Value.(hujson.Literal)
	expected, kind := "text in quotes", hujson.Kind('"')
	switch {
	case target.Kind() == reflect.Bool:
		expected, kind = "true or false", 't'
	case target.CanFloat():
		expected, kind = "a number", '0'
	case target.CanInt():
		expected, kind = "a whole number", '0'
	case target.CanUint():
		expected, kind = "a whole number not below 0", '0'
	}
	if literal == nil || !kindMatches(literal.Kind(), kind) {
		d.addTypeError(value, expected)
		return
	}
	if !setLiteral(literal, target) {
		d.addDecodeError(value, fmt.Sprintf("expected %s, found %s", expected, literal))
	}
}

func kindMatches(found, expected hujson.Kind) bool {
	return found == expected || found == 'f' && expected == 't'
}

// setLiteral assigns a literal of the right kind to a field and reports whether its value
// fits.
func setLiteral(literal hujson.Literal, target reflect.Value) bool {
	switch {
	case target.Kind() == reflect.Bool:
		target.SetBool(literal.Bool())
	case target.Kind() == reflect.String:
		target.SetString(stringValue(literal))
	case target.CanFloat():
		v, err := strconv.ParseFloat(string(literal), 64)
		target.SetFloat(v)
		return err == nil
	case target.CanInt():
		v, err := strconv.ParseInt(string(literal), 10, target.Type().Bits())
		target.SetInt(v)
		return err == nil
	case target.CanUint():
		v, err := strconv.ParseUint(string(literal), 10, target.Type().Bits())
		target.SetUint(v)
		return err == nil
	default:
		return false
	}
	return true
}

func (d *Document) addTypeError(value hujson.Value, expected string) {
	found := map[hujson.Kind]string{
		'n': "null", 'f': "false", 't': "true", '"': "text", '0': "a number",
		'{': "an object", '[': "a list",
	}[value.Value.Kind()]
	d.addDecodeError(value, fmt.Sprintf("expected %s, found %s", expected, found))
}

func (d *Document) addDecodeError(value hujson.Value, message string) {
	d.undecodable[value.StartOffset] = true
	d.addFinding(value.StartOffset, message)
}

// fieldIndexes returns the indexes of a struct's fields by JSON name.
func (d *Document) fieldIndexes(t reflect.Type) map[string]int {
	if fields := d.fieldCache[t]; fields != nil {
		return fields
	}
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[jsonName(t.Field(i))] = i
	}
	d.fieldCache[t] = fields
	return fields
}

func expectedFields(t reflect.Type) string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = jsonName(t.Field(i))
	}
	return "one of " + strings.Join(names, ", ")
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
