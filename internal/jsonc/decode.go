package jsonc

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode sets the struct that into points to. Fields are matched by their json
// tags, exactly. What does not fit is added to the findings and left as it was.
func (d *Document) Decode(into any) {
	d.decode(d.root, reflect.ValueOf(into).Elem())
}

func (d *Document) decode(value hujson.Value, into reflect.Value) {
	if u, ok := into.Addr().Interface().(json.Unmarshaler); ok {
		d.unmarshal(value, u)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.decodeStruct(value, into)
	case reflect.Slice:
		d.decodeSlice(value, into)
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.decode(value, into.Elem())
	default:
		d.decodeLiteral(value, into)
	}
}

func (d *Document) unmarshal(value hujson.Value, into json.Unmarshaler) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		d.mismatch(value, "a single value")
		return
	}
	if err := into.UnmarshalJSON(literal); err != nil {
		d.misfit(value, err.Error())
	}
}

func (d *Document) decodeStruct(value hujson.Value, into reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.mismatch(value, "an object")
		return
	}
	fields := d.fieldsOf(into.Type())
	seen := make([]bool, into.NumField())
	for _, m := range object.Members {
		name := nameOf(m)
		index, known := fields[name]
		switch {
		case !known:
			d.addAt(m.Name.StartOffset, fmt.Sprintf("unknown field %q, expected %s", name, namesOf(into.Type())))
		case seen[index]:
			d.addAt(m.Name.StartOffset, fmt.Sprintf("field %q stands twice, expected once", name))
		default:
			seen[index] = true
			d.decode(m.Value, into.Field(index))
		}
	}
}

func (d *Document) decodeSlice(value hujson.Value, into reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.mismatch(value, "a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decode(element, into.Index(i))
	}
}

func (d *Document) decodeLiteral(value hujson.Value, into reflect.Value) {
	literal, _ := value.Value.(hujson.Literal)
	expected, kind := "text in quotes", hujson.Kind('"')
	switch {
	case into.Kind() == reflect.Bool:
		expected, kind = "true or false", 't'
	case into.CanFloat():
		expected, kind = "a number", '0'
	case into.CanInt():
		expected, kind = "a whole number", '0'
	case into.CanUint():
		expected, kind = "a whole number not below 0", '0'
	}
	if literal == nil || !sameKind(literal.Kind(), kind) {
		d.mismatch(value, expected)
		return
	}
	if !setLiteral(literal, into) {
		d.misfit(value, fmt.Sprintf("expected %s, found %s", expected, literal))
	}
}

func sameKind(found, expected hujson.Kind) bool {
	return found == expected || found == 'f' && expected == 't'
}

// setLiteral tells whether the literal, of the right kind, fits the field.
func setLiteral(literal hujson.Literal, into reflect.Value) bool {
	switch {
	case into.Kind() == reflect.Bool:
		into.SetBool(literal.Bool())
	case into.Kind() == reflect.String:
		into.SetString(textOf(literal))
	case into.CanFloat():
		v, err := strconv.ParseFloat(string(literal), 64)
		into.SetFloat(v)
		return err == nil
	case into.CanInt():
		v, err := strconv.ParseInt(string(literal), 10, into.Type().Bits())
		into.SetInt(v)
		return err == nil
	case into.CanUint():
		v, err := strconv.ParseUint(string(literal), 10, into.Type().Bits())
		into.SetUint(v)
		return err == nil
	default:
		return false
	}
	return true
}

func (d *Document) mismatch(value hujson.Value, expected string) {
	found := map[hujson.Kind]string{
		'n': "null", 'f': "false", 't': "true", '"': "text", '0': "a number",
		'{': "an object", '[': "a list",
	}[value.Value.Kind()]
	d.misfit(value, fmt.Sprintf("expected %s, found %s", expected, found))
}

func (d *Document) misfit(value hujson.Value, what string) {
	d.misfits[value.StartOffset] = true
	d.addAt(value.StartOffset, what)
}

// fieldsOf maps the json names of a struct's fields to their indexes.
func (d *Document) fieldsOf(t reflect.Type) map[string]int {
	if fields := d.fields[t]; fields != nil {
		return fields
	}
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[jsonName(t.Field(i))] = i
	}
	d.fields[t] = fields
	return fields
}

func namesOf(t reflect.Type) string {
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
