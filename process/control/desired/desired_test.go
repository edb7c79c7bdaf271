package desired

import (
	"bytes"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/process/control"
)

func deployCommand(version uint64, content string) control.Command {
	return control.Command{Deploy: &control.Deploy{Version: version, Content: []byte(content)}}
}

func weightsCommand(model string, version int) control.Command {
	return control.Command{Weights: &control.PublishWeights{Model: model, Version: version}}
}

func TestVersionsNeverDecrease(t *testing.T) {
	m := New()
	for i, cmd := range []control.Command{
		deployCommand(7, "seven"), deployCommand(5, "five"), deployCommand(7, "other seven"), weightsCommand("m", 3), weightsCommand("m", 2), weightsCommand("n", 1),
	} {
		if res := m.Apply(uint64(i+1), 1, cmd); res.Code != 0 {
			t.Errorf("command %d was rejected with code %d, want it acknowledged", i, res.Code)
		}
	}
	s, _ := m.Current()
	if s.ConfigVersion != 7 || string(s.Content) != "seven" || s.Weights["m"] != 3 || s.Weights["n"] != 1 || s.Revision != 6 {
		t.Errorf("state %+v", s)
	}
}

func TestChangeNotifiesWaiters(t *testing.T) {
	m := New()
	_, changed := m.Current()
	m.Apply(1, 1, deployCommand(0, ""))
	select {
	case <-changed:
		t.Error("waiters notified although nothing changed")
	default:
	}
	m.Apply(2, 1, deployCommand(1, "one"))
	select {
	case <-changed:
	default:
		t.Error("waiters not notified of a change")
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	m := New()
	m.Apply(3, 1, deployCommand(9, "nine"))
	m.Apply(4, 1, weightsCommand("m", 2))
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	s, _ := restored.Current()
	if s.ConfigVersion != 9 || string(s.Content) != "nine" || s.Weights["m"] != 2 || s.Revision != 4 {
		t.Errorf("state %+v", s)
	}
	if restored.Restore([]byte("x")) == nil {
		t.Error("a damaged snapshot was restored")
	}
}

func TestCompressionRoundTrip(t *testing.T) {
	document := bytes.Repeat([]byte(`{"version":1}`), 1000)
	content, err := Compress(document)
	if err != nil || len(content) > len(document)/10 {
		t.Fatalf("%d bytes, %v", len(content), err)
	}
	if expanded, err := Decompress(content); err != nil || !bytes.Equal(expanded, document) {
		t.Errorf("%v", err)
	}
	if _, err := Decompress(content[:len(content)/2]); err == nil {
		t.Error("a truncated document was decompressed without error")
	}
}

func TestDocumentAboveTheLimitIsAnError(t *testing.T) {
	content, err := Compress(make([]byte, maxDocumentBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	if expanded, err := Decompress(content); err == nil {
		t.Errorf("a document of %d bytes was cut to %d", maxDocumentBytes+1, len(expanded))
	}
}

func TestPublishedVersionsAreListed(t *testing.T) {
	m := New()
	list := func() []int { s, _ := m.Current(); return s.Published["m"] }
	for i, version := range []int{2, 3, 3, 7} {
		m.Apply(uint64(i+1), 1, weightsCommand("m", version))
	}
	before := list()
	if !slices.Equal(before, []int{2, 3, 7}) {
		t.Errorf("published versions are %v", before)
	}
	for version := 8; version < 30; version++ {
		m.Apply(uint64(version), 1, weightsCommand("m", version))
	}
	if got := list(); len(got) != maxPublished || got[maxPublished-1] != 29 || !slices.Equal(before, []int{2, 3, 7}) {
		t.Errorf("published versions are %v, those returned before %v", got, before)
	}
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	want := list()
	if m = New(); m.Restore(data) != nil || !slices.Equal(list(), want) {
		t.Errorf("published versions are %v after a restart, want %v", list(), want)
	}
}

func TestListOfPublishedVersionsStartsWithTheOneOfAnOlderSnapshot(t *testing.T) {
	data, err := cbor.Marshal(map[int]any{1: 5, 4: map[string]int{"m": 3}})
	if err != nil {
		t.Fatal(err)
	}
	m := New()
	if err := m.Restore(data); err != nil {
		t.Fatal(err)
	}
	m.Apply(6, 1, weightsCommand("m", 5))
	if s, _ := m.Current(); !slices.Equal(s.Published["m"], []int{3, 5}) {
		t.Errorf("published versions are %v", s.Published["m"])
	}
}
