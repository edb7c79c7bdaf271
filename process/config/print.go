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

const defaultOrigin = "default"

// Print writes the effective configuration as YAML. A comment on each value
// names the file and line that it came from, or says that it is a default.
// Texts, lists and maps that are not set are left out.
func (m *Merged) Print(w io.Writer) error {
	p := printer{origins: m.Origins, out: &strings.Builder{}}
	p.fields(reflect.ValueOf(m.Config).Elem(), "", 0)
	_, err := io.WriteString(w, p.out.String())
	return err
}

type printer struct {
	origins map[string]string
	out     *strings.Builder
}

func (p *printer) fields(v reflect.Value, path string, depth int) {
	for i := range v.NumField() {
		if name := v.Type().Field(i).Tag.Get("yaml"); name != "" {
			p.value(name, v.Field(i), join(path, name), depth)
		}
	}
}

func (p *printer) value(key string, v reflect.Value, path string, depth int) {
	if p.unset(v, path) {
		return
	}
	indent := strings.Repeat("  ", depth)
	_, isText := v.Interface().(encoding.TextMarshaler)
	switch {
	case v.Kind() == reflect.Struct && !isText:
		p.section(indent+key, v, path, depth)
	case v.Kind() == reflect.Map && v.Len() > 0:
		p.out.WriteString(indent + key + ":\n")
		for _, name := range mapKeys(v) {
			p.value(name, v.MapIndex(reflect.ValueOf(name)), join(path, name), depth+1)
		}
	default:
		fmt.Fprintf(p.out, "%s%s: %s # %s\n", indent, key, inline(v), p.origin(path))
	}
}

// section writes a struct's fields under its key.
func (p *printer) section(key string, v reflect.Value, path string, depth int) {
	outer := p.out
	p.out = &strings.Builder{}
	p.fields(v, path, depth+1)
	body := p.out.String()
	p.out = outer
	if body == "" {
		fmt.Fprintf(p.out, "%s: {} # %s\n", key, p.origin(path))
		return
	}
	p.out.WriteString(key + ":\n" + body)
}

func (p *printer) unset(v reflect.Value, path string) bool {
	switch v.Kind() {
	case reflect.String, reflect.Slice, reflect.Map, reflect.Array:
		return v.IsZero() && p.origins[path] == ""
	}
	return false
}

func (p *printer) origin(path string) string {
	if origin, ok := p.origins[path]; ok {
		return origin
	}
	return defaultOrigin
}

func mapKeys(v reflect.Value) []string {
	keys := make(map[string]bool, v.Len())
	for _, key := range v.MapKeys() {
		keys[key.String()] = true
	}
	return sortedKeys(keys)
}

// inline writes a scalar, a list or an empty map on one line.
func inline(v reflect.Value) string {
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
			parts[i] = inline(v.Index(i))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	case reflect.Struct:
		var parts []string
		for i := range v.NumField() {
			parts = append(parts, v.Type().Field(i).Tag.Get("yaml")+": "+inline(v.Field(i)))
		}
		return "{" + strings.Join(parts, ", ") + "}"
	default:
		return fmt.Sprint(v.Interface())
	}
}
