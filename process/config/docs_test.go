package config

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// documentedKeys returns "key type default" for each table row of
// docs/configuration.md.
func documentedKeys(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "configuration.md"))
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([a-z ]+) \\| ([^|]*) ?\\| .+ \\|$")
	var rows []string
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		rows = append(rows, strings.TrimSpace(m[1]+" "+m[2]+" "+m[3]))
	}
	return rows
}

// structKeys returns "key type default" for each field of the configuration
// structs.
func structKeys() []string {
	root := newConfig()
	account, engine := Account{}, Config{Services: map[string]Service{"NAME": {Kind: ServiceEngine}}}
	setMapValueDefaults(&account)
	engine.setServiceDefaults()
	root.Zones = map[string]Zone{"NAME": {}}
	root.Sources = map[string]Source{"NAME": {}}
	root.Versions = map[string]Version{"NAME": {}}
	root.Services = engine.Services
	root.Accounts = map[string]Account{"NAME": account}
	root.Priorities = map[string]int{"NAME": 0}
	service := root.Services["NAME"]
	service.Kind = ""
	service.Routes = []Route{{}}
	root.Services["NAME"] = service
	return walkKeys("", reflect.ValueOf(*root))
}

func walkKeys(path string, v reflect.Value) []string {
	switch {
	case v.Type() == reflect.TypeFor[time.Duration]():
		return []string{path + " duration " + shortDuration(v.Interface().(time.Duration))}
	case v.Type() == reflect.TypeFor[manifest.Digest]():
		return []string{path + " digest"}
	case v.Kind() == reflect.Struct:
		var keys []string
		for i := range v.NumField() {
			keys = append(keys, walkKeys(strings.TrimPrefix(path+"."+v.Type().Field(i).Tag.Get("yaml"), "."), v.Field(i))...)
		}
		return keys
	case v.Kind() == reflect.Map:
		if v.Type().Elem().Kind() == reflect.Int {
			return []string{path + ".NAME integer"}
		}
		return walkKeys(path+".NAME", v.MapIndex(reflect.ValueOf("NAME")))
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		return append([]string{path + " list of map"}, walkKeys(path+"[]", v.Index(0))...)
	case v.Kind() == reflect.Slice:
		return []string{path + " list of string"}
	}
	names := map[reflect.Kind]string{
		reflect.String: "string", reflect.Bool: "boolean", reflect.Int: "integer", reflect.Int64: "integer", reflect.Float64: "number",
	}
	return []string{strings.TrimSpace(fmt.Sprintf("%s %s %v", path, names[v.Kind()], v.Interface()))}
}

// shortDuration formats whole hours without minutes and seconds.
func shortDuration(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return d.String()
}

// TestEveryKeyIsDocumented checks that docs/configuration.md and the structs
// list the same keys, types and defaults.
func TestEveryKeyIsDocumented(t *testing.T) {
	documented, defined := documentedKeys(t), structKeys()
	for _, key := range defined {
		if !slices.Contains(documented, key) {
			t.Errorf("docs/configuration.md does not document %q", key)
		}
	}
	for _, key := range documented {
		if !slices.Contains(defined, key) {
			t.Errorf("docs/configuration.md documents %q, which no struct defines", key)
		}
	}
}
