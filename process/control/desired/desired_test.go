package desired

import (
	"bytes"
	"testing"

	"github.com/waxwingpost/waxwingpost/process/control"
)

func deploy(version uint64, content string) control.Command {
	return control.Command{Deploy: &control.Deploy{Version: version, Content: []byte(content)}}
}

func weights(model string, version int) control.Command {
	return control.Command{Weights: &control.NameWeights{Model: model, Version: version}}
}

func TestNothingGoesBack(t *testing.T) {
	m := New()
	for i, cmd := range []control.Command{
		deploy(7, "seven"), deploy(5, "five"), deploy(7, "other seven"), weights("m", 3), weights("m", 2), weights("n", 1),
	} {
		if res := m.Apply(uint64(i+1), 1, cmd); res.Code != 0 {
			t.Errorf("command %d is refused with %d: it is to be acknowledged", i, res.Code)
		}
	}
	s, _ := m.Current()
	if s.ConfigVersion != 7 || string(s.Content) != "seven" || s.Weights["m"] != 3 || s.Weights["n"] != 1 || s.Revision != 6 {
		t.Errorf("state %+v", s)
	}
}

func TestChangesWakeWaiters(t *testing.T) {
	m := New()
	_, changed := m.Current()
	m.Apply(1, 1, deploy(0, ""))
	select {
	case <-changed:
		t.Error("nothing changed")
	default:
	}
	m.Apply(2, 1, deploy(1, "one"))
	select {
	case <-changed:
	default:
		t.Error("a change woke nobody")
	}
}

func TestSnapshotHoldsTheState(t *testing.T) {
	m := New()
	m.Apply(3, 1, deploy(9, "nine"))
	m.Apply(4, 1, weights("m", 2))
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

func TestDocumentsSurviveCompression(t *testing.T) {
	document := bytes.Repeat([]byte(`{"version":1}`), 1000)
	content, err := Compress(document)
	if err != nil || len(content) > len(document)/10 {
		t.Fatalf("%d bytes, %v", len(content), err)
	}
	if back, err := Expand(content); err != nil || !bytes.Equal(back, document) {
		t.Errorf("%v", err)
	}
	if _, err := Expand(content[:len(content)/2]); err == nil {
		t.Error("half a document was expanded")
	}
}
