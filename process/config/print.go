package config

import (
	"encoding"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"time"
)

const defaultLocation = "default"

// Print writes the effective configuration as YAML. A comment on each value
// gives the file and line that set it, or marks it as a default. Unset strings,
// lists, maps and digests are omitted.
func (m *Merged) Print(w io.Writer) error {
	p := printer{locations: m.Locations, out: &strings.Builder{}}
	p.writeFields(reflect.ValueOf(m.Config).Elem(), "", 0)
	_, err := io.WriteString(w, p.out.String())
	return err
}

// printer writes a configuration with the location of each value.
type printer struct {
	locations map[string]string
	out       *strings.Builder
}

func (p *printer) writeFields(v reflect.Value, path string, depth int) {
	for i := range v.NumField() {
		if name := v.Type().Field(i).Tag.Get("yaml"); name != "" {
			p.writeValue(name, v.Field(i), joinPath(path, name), depth)
		}
	}
}

func (p *printer) writeValue(key string, v reflect.Value, path string, depth int) {
	if p.isUnset(v, path) {
		return
	}
	indent := strings.Repeat("  ", depth)
	_, isText := v.Interface().(encoding.TextMarshaler)
	switch {
	case v.Kind() == reflect.Struct && !isText:
		p.writeSection(indent+key, v, path, depth)
	case v.Kind() == reflect.Map && v.Len() > 0:
		p.out.WriteString(indent + key + ":\n")
		for _, name := range mapKeys(v) {
			p.writeValue(name, v.MapIndex(reflect.ValueOf(name)), joinPath(path, name), depth+1)
		}
	default:
		fmt.Fprintf(p.out, "%s%s: %s # %s\n", indent, key, formatInline(v), p.locationOf(path))
	}
}

// writeSection writes a struct's fields under its key.
func (p *printer) writeSection(key string, v reflect.Value, path string, depth int) {
	outer := p.out
	p.out = &strings.Builder{}
	p.writeFields(v, path, depth+1)
	body := p.out.String()
	p.out = outer
	if body == "" {
		fmt.Fprintf(p.out, "%s: {} # %s\n", key, p.locationOf(path))
		return
	}
	p.out.WriteString(key + ":\n" + body)
}

// isUnset reports whether a string, list, map or digest is empty and set in no
// file. Numbers and booleans are always printed.
func (p *printer) isUnset(v reflect.Value, path string) bool {
	switch v.Kind() {
	case reflect.String, reflect.Slice, reflect.Map, reflect.Array:
		return v.IsZero() && p.locations[path] == ""
	}
	return false
}

func (p *printer) locationOf(path string) string {
	if location, ok := p.locations[path]; ok {
		return location
	}
	return defaultLocation
}

func mapKeys(v reflect.Value) []string {
	keys := make(map[string]bool, v.Len())
	for _, key := range v.MapKeys() {
		keys[key.String()] = true
	}
	return sortedKeys(keys)
}

// formatInline formats a scalar, a list or an empty map on one line.
func formatInline(v reflect.Value) string {
	if d, ok := v.Interface().(time.Duration); ok {
		return d.String()
	}
	if text, ok := v.Interface().(encoding.TextMarshaler); ok {
		b, _ := text.MarshalText()
		return strconv.Quote(string(b))
	}
	switch v.Kind() {
	case reflect.String:
		return strconv.Quote(v.String())
	case reflect.Map:
		return "{}"
	case reflect.Slice:
		parts := make([]string, v.Len())
		for i := range parts {
			parts[i] = formatInline(v.Index(i))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	case reflect.Struct:
		var parts []string
		for i := range v.NumField() {
			parts = append(parts, v.Type().Field(i).Tag.Get("yaml")+": "+formatInline(v.Field(i)))
		}
		return "{" + strings.Join(parts, ", ") + "}"
	default:
		return fmt.Sprint(v.Interface())
	}
}
