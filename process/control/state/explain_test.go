package state

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

func registerCommand(name, content string) control.Command {
	return control.Command{Register: &control.RegisterVersion{Manifest: *manifest.Build(name, []byte(content), 4)}}
}

func TestVersionHasOneManifest(t *testing.T) {
	m := newTestMachine(Options{})
	first := m.apply("1", registerCommand("v1", "weights"))
	wantCode(t, first, result.OK)
	if again := m.apply("2", registerCommand("v1", "weights")); again.Code != 0 || again.Index != first.Index {
		t.Errorf("registering the same manifest again: %+v, first %+v", again, first)
	}
	wantCode(t, m.apply("3", registerCommand("v1", "other")), result.VersionConflict)
	configFor := func(name, content string) string {
		return "versions: {" + name + ": {model: m, path: /v, digest: '" + manifest.Build(name, []byte(content), 4).Digest().String() + "'}}\n"
	}
	wantCode(t, m.apply("4", editCommand("a.yaml", "", configFor("v1", "other"))), result.VersionConflict)
	wantCode(t, m.apply("5", editCommand("a.yaml", "", configFor("v2", "right"))), result.OK)
	wantCode(t, m.apply("6", registerCommand("v2", "wrong")), result.VersionConflict)
	wantCode(t, m.apply("7", registerCommand("v2", "right")), result.OK)
	wantCode(t, m.apply("8", control.Command{Register: &control.RegisterVersion{}}), result.ManifestInvalid)
	if mf, ok := m.Manifest("v1"); !ok || mf.Digest() != manifest.Build("v1", []byte("weights"), 4).Digest() {
		t.Errorf("v1 is %+v", mf)
	}
}

func TestOrderReplacesNamedPredecessor(t *testing.T) {
	m := newTestMachine(Options{})
	placeOrder := func(id, version string, after uint64) control.Result {
		return m.apply(id, control.Command{Order: &control.PlaceOrder{Agent: "a1", Version: version, After: after}})
	}
	first := placeOrder("1", "v1", 0)
	wantCode(t, first, result.OK)
	wantCode(t, placeOrder("2", "v2", 0), result.OrderSuperseded)
	second := placeOrder("3", "v3", first.Index)
	wantCode(t, second, result.OK)
	if again := placeOrder("1", "v1", 0); again.Index != first.Index {
		t.Errorf("retry %+v", again)
	}
	o, ok := m.Order("a1")
	if want := (control.Fence{Term: 1, Index: second.Index}); !ok || o.Version != "v3" || o.Fence != want {
		t.Errorf("order %+v, want fence %+v", o, want)
	}
}

func TestExplainReportsAuthorAndProposer(t *testing.T) {
	m := newTestMachine(Options{})
	one, two := "versions: {v1: {model: m, path: /v}}\n", "versions: {v1: {model: m, path: /w}}\n"
	accepted := editCommand("a.yaml", "", one)
	accepted.Edit.Author = "operator-1"
	m.apply("1", accepted)
	m.apply("2", editCommand("a.yaml", one, two))
	m.apply("3", editCommand("a.yaml", one, "priorities: {a: 3}\n"))
	m.apply("4", registerCommand("v1", "weights"))
	m.apply("5", control.Command{Order: &control.PlaceOrder{Agent: "a1", Version: "v1", Stage: true}})
	m.apply("6", control.Command{Order: &control.PlaceOrder{Agent: "a1", Version: "v1", After: 5}})
	m.apply("7", control.Command{Reserve: &control.Reserve{Account: "x", Key: "k/1", Agent: "a1", Attempt: 1}})
	data := snapshotOf(m.Machine)
	restored := New(Options{})
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	digest := func(content string) string { return manifest.Sum([]byte(content)).String() }
	for query, want := range map[string][]string{
		"revision:1":  {`"vm":"entry-1"`, `"author":"operator-1"`, digest(one)},
		"revision:2":  {digest(one), digest(two), `"file":"a.yaml"`},
		"file:a.yaml": {digest(two), `"code":1011`, `"revision":2`, "path: /w"},
		"version:v1":  {`"registered":true`, `"registered_at_index":4`, `"Agent":"a1"`},
		"order:a1":    {`"Stage":true`, `"index":6`, `"vm":"entry-1"`},
		"call:x/k/1":  {`"Verdict":"reserved"`},
	} {
		got, err := restored.Explain(query)
		if err != nil {
			t.Errorf("%s: %v", query, err)
			continue
		}
		text, err := json.Marshal(got)
		for _, part := range want {
			if err != nil || !strings.Contains(string(text), part) {
				t.Errorf("%s lacks %s: %s (%v)", query, part, text, err)
			}
		}
	}
	for query, code := range map[string]result.Code{
		"revision:9": result.NotFound, "file:x": result.NotFound, "version:x": result.NotFound, "order:x": result.NotFound,
		"call:x/y": result.NotFound, "revision:x": result.BadRequest, "bogus": result.BadRequest,
	} {
		if _, err := restored.Explain(query); result.CodeOf(err) != code {
			t.Errorf("%s: %v", query, err)
		}
	}
}
