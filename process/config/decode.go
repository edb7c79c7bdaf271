package config

import (
	"encoding"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/waxwingpost/waxwingpost/process/result"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// decoder fills Go values from a tree by their yaml tags and gathers every
// problem that it meets.
type decoder struct {
	problems []*result.Error
}

func (d *decoder) refuse(n *node, code result.Code, field, remedy, format string, args ...any) {
	d.problems = append(d.problems, n.place().refuse(code, field, remedy, format, args...))
}

func (d *decoder) wrongType(n *node, field, want string) {
	d.refuse(n, result.WrongType, field, "write "+want, "a %s stands where %s is expected", n.describe(), want)
}

func (d *decoder) decode(n *node, field string, to reflect.Value) {
	if n == nil {
		return
	}
	if n.kind == scalarNode && n.value == nil {
		d.refuse(n, result.WrongType, field, "give a value or remove the key", "the key has no value")
		return
	}
	switch {
	case to.Type() == durationType:
		d.duration(n, field, to)
	case to.CanAddr() && to.Addr().Type().Implements(textType):
		d.text(n, field, to)
	case to.Kind() == reflect.Pointer:
		to.Set(reflect.New(to.Type().Elem()))
		d.decode(n, field, to.Elem())
	case to.Kind() == reflect.Struct:
		d.structure(n, field, to)
	case to.Kind() == reflect.Map:
		d.table(n, field, to)
	case to.Kind() == reflect.Slice:
		d.list(n, field, to)
	default:
		d.scalar(n, field, to)
	}
}

func (d *decoder) structure(n *node, field string, to reflect.Value) {
	if n.kind != mapNode {
		d.wrongType(n, field, "a map")
		return
	}
	index := fieldIndex(to.Type())
	for _, key := range n.keys {
		i, ok := index[key]
		if !ok {
			remedy := "remove it; known here: " + strings.Join(sortedKeys(index), ", ")
			d.problems = append(d.problems, n.places[key].refuse(result.UnknownKey, join(field, key), remedy, "unknown key %q", key))
			continue
		}
		d.decode(n.fields[key], join(field, key), to.Field(i))
	}
}

func (d *decoder) table(n *node, field string, to reflect.Value) {
	if n.kind != mapNode {
		d.wrongType(n, field, "a map")
		return
	}
	to.Set(reflect.MakeMapWithSize(to.Type(), len(n.keys)))
	for _, key := range n.keys {
		path := join(field, key)
		if !validName(key) {
			d.problems = append(d.problems, n.places[key].refuse(result.BadValue, path, nameRemedy, "%q is not a name", key))
			continue
		}
		value := reflect.New(to.Type().Elem()).Elem()
		setEntryDefaults(value.Addr().Interface())
		d.decode(n.fields[key], path, value)
		to.SetMapIndex(reflect.ValueOf(key), value)
	}
}

func (d *decoder) list(n *node, field string, to reflect.Value) {
	if n.kind != listNode {
		d.wrongType(n, field, "a list")
		return
	}
	to.Set(reflect.MakeSlice(to.Type(), len(n.items), len(n.items)))
	for i, item := range n.items {
		d.decode(item, field+"["+strconv.Itoa(i)+"]", to.Index(i))
	}
}

func (d *decoder) text(n *node, field string, to reflect.Value) {
	s, ok := n.value.(string)
	if !ok {
		d.wrongType(n, field, "a string")
		return
	}
	err := to.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(s))
	if err != nil {
		d.refuse(n, result.BadValue, field, "write blake3: and 64 hexadecimal digits", "%q is malformed", s)
	}
}

func (d *decoder) duration(n *node, field string, to reflect.Value) {
	s, ok := n.value.(string)
	if !ok {
		d.wrongType(n, field, "a duration with its unit, such as 30s")
		return
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		d.refuse(n, result.BadValue, field, "write a duration such as 30s, 10m or 1h", "%q is not a duration", s)
		return
	}
	to.SetInt(int64(v))
}

func (d *decoder) scalar(n *node, field string, to reflect.Value) {
	switch to.Kind() {
	case reflect.String:
		if s, ok := n.value.(string); ok {
			to.SetString(s)
			return
		}
		d.wrongType(n, field, "a string (in quotes where it looks like a number)")
	case reflect.Bool:
		if b, ok := n.value.(bool); ok {
			to.SetBool(b)
			return
		}
		d.wrongType(n, field, "true or false")
	case reflect.Int, reflect.Int64:
		if i, ok := wholeNumber(n.value); ok && !to.OverflowInt(i) {
			to.SetInt(i)
			return
		}
		d.wrongType(n, field, "a whole number")
	case reflect.Float64:
		if f, ok := number(n.value); ok {
			to.SetFloat(f)
			return
		}
		d.wrongType(n, field, "a number")
	default:
		d.refuse(n, result.Internal, field, "report it", "no decoder for %s", to.Type())
	}
}

func wholeNumber(v any) (int64, bool) {
	switch i := v.(type) {
	case int64:
		return i, true
	case uint64:
		return int64(i), i <= math.MaxInt64
	}
	return 0, false
}

func number(v any) (float64, bool) {
	if f, ok := v.(float64); ok {
		return f, !math.IsNaN(f) && !math.IsInf(f, 0)
	}
	i, ok := wholeNumber(v)
	return float64(i), ok
}

// fieldIndex maps the yaml names of a struct's fields to their indexes.
func fieldIndex(t reflect.Type) map[string]int {
	index := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("yaml"); name != "" && name != "-" {
			index[name] = i
		}
	}
	return index
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// join appends a key to a dotted path; a key that holds a dot is quoted.
func join(path, key string) string {
	if strings.ContainsAny(key, ".\"") {
		key = strconv.Quote(key)
	}
	if path == "" {
		return key
	}
	return path + "." + key
}
