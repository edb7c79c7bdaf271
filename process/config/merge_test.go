package config

import (
	"net/http"
	"path/filepath"
	"strings"
	"testing"
)

func mustMerge(t *testing.T, files ...File) *Merged {
	t.Helper()
	m, problems := Merge(files)
	for _, p := range problems {
		t.Error(p)
	}
	if m == nil {
		t.FailNow()
	}
	return m
}

func file(name, content string) File {
	return File{Name: name, Content: []byte(content)}
}

func TestExamplesMerge(t *testing.T) {
	for _, name := range []string{"cooperative", "trust"} {
		files, problems := Load(filepath.Join("..", "..", "examples", name))
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		m := mustMerge(t, files...)
		if len(m.Config.Accounts) != 10 || len(m.Config.Services) != 3 {
			t.Errorf("%s: %d accounts, %d services", name, len(m.Config.Accounts), len(m.Config.Services))
		}
		for service, s := range m.Config.Services {
			for _, r := range s.Routes {
				if s.Kind == ServicePlain && r.Repeatable != (r.Method == http.MethodGet) {
					t.Errorf("%s: %s %s %s repeatable=%v", name, service, r.Method, r.Path, r.Repeatable)
				}
			}
		}
	}
}

func TestLocalFileOverridesAddressesAndVoters(t *testing.T) {
	files, _ := Load(filepath.Join("..", "..", "examples", "trust"))
	local := file("50-local.yaml", "control: {voters: [a, b]}\nsources:\n  origin:\n    address: 127.0.0.1:7000\n")
	m := mustMerge(t, append(files, local)...)
	origin := m.Config.Sources["origin"]
	if origin.Address != "127.0.0.1:7000" || origin.Kind != SourceOrigin || origin.Zone != "western-a" {
		t.Errorf("origin = %+v", origin)
	}
	if strings.Join(m.Config.Control.Voters, ",") != "a,b" {
		t.Errorf("voters = %v", m.Config.Control.Voters)
	}
	if got := m.Locations["sources.origin.address"]; got != "50-local.yaml:4" {
		t.Errorf("location of the address = %q", got)
	}
	if got := m.Locations["sources.origin.zone"]; got != "20-weights.yaml:6" {
		t.Errorf("location of the zone = %q", got)
	}
}

func TestNoFilesMergeToDefaults(t *testing.T) {
	m := mustMerge(t)
	if m.Config.Requests.KeyRetention != DefaultKeyRetention || m.Config.Weights.Objective != DefaultObjective {
		t.Errorf("defaults = %+v", m.Config)
	}
}

func TestMergeAcceptedSkipsUnknownKeysAndWrongTypes(t *testing.T) {
	m := new(Merger).MergeAccepted([]File{
		file("a.yaml", "priorities: {a: 1}\nkey_of_another_release: 3\n"),
		file("b.yaml", "links: {live_share: 0.25, vm_bytes_per_second: words}\n"),
	})
	if m.Config.Priorities["a"] != 1 || m.Config.Links.LiveShare != 0.25 {
		t.Errorf("merged config = %+v", m.Config)
	}
}
