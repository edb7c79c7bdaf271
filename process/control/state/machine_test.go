package state

import (
	"bytes"
	"strings"
	"testing"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// testMachine applies commands at consecutive indexes.
type testMachine struct {
	*Machine
	lastIndex uint64
	lastTime  int64
}

func newTestMachine(opts Options) *testMachine {
	return &testMachine{Machine: New(opts)}
}

func (m *testMachine) apply(id string, cmd control.Command) control.Result {
	m.lastIndex++
	m.lastTime++
	cmd.ID, cmd.VM = id, "entry-1"
	if cmd.Time == 0 {
		cmd.Time = m.lastTime
	}
	return m.Apply(m.lastIndex, 1, cmd)
}

func editCommand(file, base, content string) control.Command {
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
	m := newTestMachine(Options{})
	one, two := "priorities: {a: 1}\n", "priorities: {a: 2}\n"
	first := m.apply("1", editCommand("a.yaml", "", one))
	wantCode(t, first, result.OK)
	again := m.apply("2", editCommand("a.yaml", "", one))
	if again.Code != 0 || again.Revision != first.Revision {
		t.Errorf("retry = %+v", again)
	}
	wantCode(t, m.apply("3", editCommand("a.yaml", "", two)), result.EditConflict)
	second := m.apply("4", editCommand("a.yaml", one, two))
	if second.Revision != 2 {
		t.Errorf("second = %+v", second)
	}
	if resent := m.apply("1", editCommand("a.yaml", "", one)); resent.Revision != first.Revision || resent.Index != first.Index {
		t.Errorf("retry with the same ID = %+v, want %+v", resent, first)
	}
	wantCode(t, m.apply("5", editCommand("b.yaml", "", "bogus: 1\n")), result.UnknownKey)
	if c, revision := m.Config(); revision != 2 || c.Priorities["a"] != 2 {
		t.Errorf("revision %d, config %+v", revision, c.Priorities)
	}
}

func TestTextsThatAreCutKeepTheSnapshotReadable(t *testing.T) {
	// Each text has a character of two bytes at the limit.
	text := func(limit int) string { return strings.Repeat("a", limit-1) + "é" + strings.Repeat("a", limit) }
	m := newTestMachine(Options{})
	cmd := editCommand("a.yaml", "", "bogus"+text(maxDetail)+": 1\n")
	cmd.VM, cmd.ID = text(maxHistoryName), text(maxHistoryName)
	cmd.Edit.Author = text(maxHistoryName)
	m.apply("1", cmd)
	accepted := editCommand("b.yaml", "", "priorities: {a: 1}\n")
	accepted.Edit.Author = text(maxHistoryName)
	m.apply("2", accepted)
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := New(Options{}).Restore(data); err != nil {
		t.Error(err)
	}
}

func TestSnapshotRestoresToEqualBytes(t *testing.T) {
	m := newTestMachine(Options{})
	m.apply("1", editCommand("a.yaml", "", "priorities: {a: 1}\n"))
	m.apply("2", editCommand("a.yaml", "", "priorities: {a: 3}\n"))
	m.apply("3", control.Command{Register: &control.RegisterVersion{Manifest: *manifest.Build("v1", []byte("weights"), 3)}})
	m.apply("4", control.Command{Order: &control.PlaceOrder{Agent: "a1", Version: "v1"}})
	m.apply("5", control.Command{Reserve: &control.Reserve{Account: "x", Key: "k", Agent: "a1", Attempt: 1}})
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := New(Options{})
	if err := other.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, _ := other.Snapshot()
	if !bytes.Equal(data, again) {
		t.Error("the restored machine has a different snapshot")
	}
}
