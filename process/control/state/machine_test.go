package state

import (
	"bytes"
	"testing"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// replica applies commands one after the other.
type replica struct {
	*Machine
	next uint64
	time int64
}

func newReplica(opts Options) *replica {
	return &replica{Machine: New(opts)}
}

func (r *replica) do(id string, cmd control.Command) control.Result {
	r.next++
	r.time++
	cmd.ID, cmd.VM = id, "entry-1"
	if cmd.Time == 0 {
		cmd.Time = r.time
	}
	return r.Apply(r.next, 1, cmd)
}

func edit(file, base, content string) control.Command {
	e := &control.Edit{File: file, Content: []byte(content)}
	if base != "" {
		e.Base = manifest.Sum([]byte(base))
	}
	return control.Command{Edit: e}
}

func wantCode(t *testing.T, res control.Result, code result.Code) {
	t.Helper()
	if res.Code != int(code) {
		t.Errorf("code %d (%s), want %d", res.Code, res.Detail, code)
	}
}

func TestEditIsCompareAndSet(t *testing.T) {
	r := newReplica(Options{})
	one, two := "priorities: {a: 1}\n", "priorities: {a: 2}\n"
	first := r.do("1", edit("a.yaml", "", one))
	wantCode(t, first, result.OK)
	again := r.do("2", edit("a.yaml", "", one))
	if again.Code != 0 || again.Revision != first.Revision {
		t.Errorf("resend = %+v", again)
	}
	wantCode(t, r.do("3", edit("a.yaml", "", two)), result.EditConflict)
	second := r.do("4", edit("a.yaml", one, two))
	if second.Revision != 2 {
		t.Errorf("second = %+v", second)
	}
	if resent := r.do("1", edit("a.yaml", "", one)); resent.Revision != first.Revision || resent.Index != first.Index {
		t.Errorf("resend under the ID = %+v, want %+v", resent, first)
	}
	wantCode(t, r.do("5", edit("b.yaml", "", "bogus: 1\n")), result.UnknownKey)
	if c, revision := r.Config(); revision != 2 || c.Priorities["a"] != 2 {
		t.Errorf("revision %d, config %+v", revision, c.Priorities)
	}
}

func TestSnapshotRestoresToEqualBytes(t *testing.T) {
	r := newReplica(Options{})
	r.do("1", edit("a.yaml", "", "priorities: {a: 1}\n"))
	r.do("2", edit("a.yaml", "", "priorities: {a: 3}\n"))
	r.do("3", control.Command{Register: &control.RegisterVersion{Manifest: *manifest.Build("v1", []byte("weights"), 3)}})
	r.do("4", control.Command{Order: &control.PlaceOrder{Agent: "a1", Version: "v1"}})
	r.do("5", control.Command{Reserve: &control.Reserve{Account: "x", Key: "k", Agent: "a1", Attempt: 1}})
	data, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := New(Options{})
	if err := other.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, _ := other.Snapshot()
	if !bytes.Equal(data, again) {
		t.Error("restored machine gives another snapshot")
	}
}
