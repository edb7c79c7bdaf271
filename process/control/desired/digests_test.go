package desired

import (
	"bytes"
	"crypto/sha256"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/process/control"
)

func digestsCommand(version int, digest byte) control.Command {
	return control.Command{Pieces: &control.PieceDigests{Model: "m", Version: version, Digests: bytes.Repeat([]byte{digest}, 2*sha256.Size)}}
}

// recorded returns the first byte of the recorded digests, or 0.
func recorded(m *Machine, version int) byte {
	s, _ := m.Current()
	if d := s.RecordedDigests("m", version); len(d) == 2*sha256.Size {
		return d[0]
	}
	return 0
}

func TestDigestsOfTheNewestVersionsSurviveARestart(t *testing.T) {
	m := New()
	m.Apply(1, 1, weightsCommand("m", 4))
	for i, version := range []int{2, 4, 3, 2, 5} {
		if res := m.Apply(uint64(i+2), 1, digestsCommand(version, byte(version))); res.Code != 0 || res.Revision != 1 {
			t.Errorf("version %d: %+v", version, res)
		}
	}
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	for version, want := range []byte{0, 0, 0, 3, 4, 0} {
		if got := recorded(restored, version); got != want {
			t.Errorf("digests %d are recorded for version %d, want %d", got, version, want)
		}
	}
}

// Of two different lists for one version, at least one is wrong, and none may be used.
func TestConflictingDigestsAreNotUsed(t *testing.T) {
	m := New()
	m.Apply(1, 1, weightsCommand("m", 2))
	before, _ := m.Current()
	for i, digest := range []byte{1, 1} {
		m.Apply(uint64(i+2), 1, digestsCommand(2, digest))
	}
	if got := recorded(m, 2); got != 1 {
		t.Errorf("digests %d are recorded", got)
	}
	held, _ := m.Current()
	for i, digest := range []byte{2, 1, 2, 3} {
		m.Apply(uint64(i+4), 1, digestsCommand(2, digest))
		if got := recorded(m, 2); got != 0 {
			t.Errorf("digests %d are recorded after a conflict", got)
		}
	}
	if len(before.Digests) != 0 || held.RecordedDigests("m", 2)[0] != 1 {
		t.Error("a state that was returned before has changed")
	}
}

func TestDigestsOfUnknownVersionsAndOfWrongLengthAreIgnored(t *testing.T) {
	m := New()
	m.Apply(1, 1, weightsCommand("m", 2))
	for i, d := range []control.PieceDigests{
		{Model: "m", Version: 3, Digests: make([]byte, sha256.Size)},
		{Model: "n", Version: 1, Digests: make([]byte, sha256.Size)},
		{Model: "m", Version: 2, Digests: make([]byte, sha256.Size+1)},
		{Model: "m", Version: 2, Digests: make([]byte, MaxDigestBytes+sha256.Size)},
		{Model: "m", Version: 2},
		{Model: "m", Digests: make([]byte, sha256.Size)},
	} {
		m.Apply(uint64(i+2), 1, control.Command{Pieces: &d})
	}
	if s, _ := m.Current(); len(s.Digests) != 0 {
		t.Errorf("recorded %+v", s.Digests)
	}
}

// A replica of the release before must read a snapshot with digests.
func TestSnapshotWithDigestsIsReadWithoutThem(t *testing.T) {
	m := New()
	m.Apply(1, 1, weightsCommand("m", 2))
	m.Apply(2, 1, digestsCommand(2, 1))
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var old struct {
		Revision uint64         `cbor:"1,keyasint"`
		Weights  map[string]int `cbor:"4,keyasint,omitempty"`
	}
	if err := cbor.Unmarshal(data, &old); err != nil || old.Revision != 1 || old.Weights["m"] != 2 {
		t.Errorf("%+v, %v", old, err)
	}
}
