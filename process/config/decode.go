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

// decoder decodes a tree into Go values by their yaml tags and collects every
// problem.
type decoder struct {
	problems []*result.Error
}

func (d *decoder) addProblem(n *node, code result.Code, field, remedy, format string, args ...any) {
	d.problems = append(d.problems, n.position().newError(code, field, remedy, format, args...))
}

func (d *decoder) wrongType(n *node, field, want string) {
	d.addProblem(n, result.WrongType, field, "write "+want, "got a %s, want %s", n.describe(), want)
}

func (d *decoder) decode(n *node, field string, dst reflect.Value) {
	if n == nil {
		return
	}
	if n.kind == scalarNode && n.value == nil {
		d.addProblem(n, result.WrongType, field, "add a value or remove the key", "the key has no value")
		return
	}
	switch {
	case dst.Type() == durationType:
		d.decodeDuration(n, field, dst)
	case dst.CanAddr() && dst.Addr().Type().Implements(textType):
		d.decodeText(n, field, dst)
	case dst.Kind() == reflect.Pointer:
		dst.Set(reflect.New(dst.Type().Elem()))
		d.decode(n, field, dst.Elem())
	case dst.Kind() == reflect.Struct:
		d.decodeStruct(n, field, dst)
	case dst.Kind() == reflect.Map:
		d.decodeMap(n, field, dst)
	case dst.Kind() == reflect.Slice:
		d.decodeList(n, field, dst)
	default:
		d.decodeScalar(n, field, dst)
	}
}

func (d *decoder) decodeStruct(n *node, field string, dst reflect.Value) {
	if n.kind != mapNode {
		d.wrongType(n, field, "a map")
		return
	}
	index := fieldIndex(dst.Type())
	for _, key := range n.keys {
		i, ok := index[key]
		if !ok {
			remedy := "remove it; known here: " + strings.Join(sortedKeys(index), ", ")
			d.problems = append(d.problems, n.positions[key].newError(result.UnknownKey, joinPath(field, key), remedy, "unknown key %q", key))
			continue
		}
		d.decode(n.fields[key], joinPath(field, key), dst.Field(i))
	}
}

func (d *decoder) decodeMap(n *node, field string, dst reflect.Value) {
	if n.kind != mapNode {
		d.wrongType(n, field, "a map")
		return
	}
	dst.Set(reflect.MakeMapWithSize(dst.Type(), len(n.keys)))
	for _, key := range n.keys {
		path := joinPath(field, key)
		if !validName(key) {
			d.problems = append(d.problems, n.positions[key].newError(result.BadValue, path, nameRemedy, "%q is not a valid name", key))
			continue
		}
		value := reflect.New(dst.Type().Elem()).Elem()
		setMapValueDefaults(value.Addr().Interface())
		d.decode(n.fields[key], path, value)
		dst.SetMapIndex(reflect.ValueOf(key), value)
	}
}

func (d *decoder) decodeList(n *node, field string, dst reflect.Value) {
	if n.kind != listNode {
		d.wrongType(n, field, "a list")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(n.items), len(n.items)))
	for i, item := range n.items {
		d.decode(item, field+"["+strconv.Itoa(i)+"]", dst.Index(i))
	}
}

func (d *decoder) decodeText(n *node, field string, dst reflect.Value) {
	s, ok := n.value.(string)
	if !ok {
		d.wrongType(n, field, "a string")
		return
	}
	err := dst.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(s))
	if err != nil {
		d.addProblem(n, result.BadValue, field, "write blake3: and 64 hexadecimal digits", "%q is not a digest", s)
	}
}

func (d *decoder) decodeDuration(n *node, field string, dst reflect.Value) {
	s, ok := n.value.(string)
	if !ok {
		d.wrongType(n, field, "a duration with a unit, such as 30s")
		return
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		d.addProblem(n, result.BadValue, field, "write a duration such as 30s, 10m or 1h", "%q is not a duration", s)
		return
	}
	dst.SetInt(int64(v))
}

func (d *decoder) decodeScalar(n *node, field string, dst reflect.Value) {
	switch dst.Kind() {
	case reflect.String:
		if s, ok := n.value.(string); ok {
			dst.SetString(s)
			return
		}
		d.wrongType(n, field, "a string (quoted if it looks like a number)")
	case reflect.Bool:
		if b, ok := n.value.(bool); ok {
			dst.SetBool(b)
			return
		}
		d.wrongType(n, field, "true or false")
	case reflect.Int, reflect.Int64:
		if i, ok := toInt64(n.value); ok && !dst.OverflowInt(i) {
			dst.SetInt(i)
			return
		}
		d.wrongType(n, field, "a whole number")
	case reflect.Float64:
		if f, ok := toFloat(n.value); ok {
			dst.SetFloat(f)
			return
		}
		d.wrongType(n, field, "a number")
	default:
		d.addProblem(n, result.Internal, field, "report it", "unsupported Go type %s", dst.Type())
	}
}

func toInt64(v any) (int64, bool) {
	switch i := v.(type) {
	case int64:
		return i, true
	case uint64:
		return int64(i), i <= math.MaxInt64
	}
	return 0, false
}

func toFloat(v any) (float64, bool) {
	if f, ok := v.(float64); ok {
		return f, !math.IsNaN(f) && !math.IsInf(f, 0)
	}
	i, ok := toInt64(v)
	return float64(i), ok
}

// fieldIndex maps the yaml tag of each field of a struct to the field's index.
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

// joinPath appends a key to a dotted path. A key that contains a dot or a double
// quote is quoted.
func joinPath(path, key string) string {
	if strings.ContainsAny(key, ".\"") {
		key = strconv.Quote(key)
	}
	if path == "" {
		return key
	}
	return path + "." + key
}
