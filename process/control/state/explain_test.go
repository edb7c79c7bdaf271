package state

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

func register(name, content string) control.Command {
	return control.Command{Register: &control.RegisterVersion{Manifest: *manifest.Build(name, []byte(content), 4)}}
}

func TestVersionHasOneManifest(t *testing.T) {
	r := newReplica(Options{})
	first := r.do("1", register("v1", "weights"))
	wantCode(t, first, result.OK)
	if again := r.do("2", register("v1", "weights")); again.Code != 0 || again.Index != first.Index {
		t.Errorf("the same manifest again: %+v, first %+v", again, first)
	}
	wantCode(t, r.do("3", register("v1", "other")), result.VersionConflict)
	named := func(name, content string) string {
		return "versions: {" + name + ": {model: m, path: /v, digest: '" + manifest.Build(name, []byte(content), 4).Digest().String() + "'}}\n"
	}
	wantCode(t, r.do("4", edit("a.yaml", "", named("v1", "other"))), result.VersionConflict)
	wantCode(t, r.do("5", edit("a.yaml", "", named("v2", "right"))), result.OK)
	wantCode(t, r.do("6", register("v2", "wrong")), result.VersionConflict)
	wantCode(t, r.do("7", register("v2", "right")), result.OK)
	wantCode(t, r.do("8", control.Command{Register: &control.RegisterVersion{}}), result.ManifestInvalid)
	if m, ok := r.Manifest("v1"); !ok || m.Digest() != manifest.Build("v1", []byte("weights"), 4).Digest() {
		t.Errorf("v1 is %+v", m)
	}
}

func TestOrderReplacesTheOneNamed(t *testing.T) {
	r := newReplica(Options{})
	order := func(id, version string, after uint64) control.Result {
		return r.do(id, control.Command{Order: &control.PlaceOrder{Agent: "a1", Version: version, After: after}})
	}
	first := order("1", "v1", 0)
	wantCode(t, first, result.OK)
	wantCode(t, order("2", "v2", 0), result.OrderSuperseded)
	second := order("3", "v3", first.Index)
	wantCode(t, second, result.OK)
	if again := order("1", "v1", 0); again.Index != first.Index {
		t.Errorf("resend %+v", again)
	}
	o, ok := r.Order("a1")
	if want := (control.Fence{Term: 1, Index: second.Index}); !ok || o.Version != "v3" || o.Fence != want {
		t.Errorf("order %+v, want fence %+v", o, want)
	}
}

func TestExplainTellsWhoDidWhat(t *testing.T) {
	r := newReplica(Options{})
	one, two := "versions: {v1: {model: m, path: /v}}\n", "versions: {v1: {model: m, path: /w}}\n"
	accepted := edit("a.yaml", "", one)
	accepted.Edit.Author = "operator-1"
	r.do("1", accepted)
	r.do("2", edit("a.yaml", one, two))
	r.do("3", edit("a.yaml", one, "priorities: {a: 3}\n"))
	r.do("4", register("v1", "weights"))
	r.do("5", control.Command{Order: &control.PlaceOrder{Agent: "a1", Version: "v1", Stage: true}})
	r.do("6", control.Command{Order: &control.PlaceOrder{Agent: "a1", Version: "v1", After: 5}})
	r.do("7", control.Command{Reserve: &control.Reserve{Account: "x", Key: "k/1", Agent: "a1", Attempt: 1}})
	data := snapshotOf(r.Machine)
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
