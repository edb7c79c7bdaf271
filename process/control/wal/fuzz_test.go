package wal

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/process/control/raft"
)

// FuzzOpen opens a log whose bytes or records are arbitrary. An opened log has consecutive
// entries, accepts the next one, and holds the same when it is opened again.
func FuzzOpen(f *testing.F) {
	begin := record{Begin: &segmentHeader{Format: formatVersion, Number: 1}}
	for _, records := range [][]record{
		{begin, {HardState: &raft.HardState{Term: 2}, Entries: []raft.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}}}},
		{begin, {Entries: []raft.Entry{{Index: 1, Term: 1}, {Index: 5, Term: 1}}}},
		{begin, {Entries: []raft.Entry{{Index: 3, Term: 1}}}, {Entries: []raft.Entry{{Index: 2, Term: 2}}}},
		{begin, {Reset: &position{Index: 7, Term: 2}, Entries: []raft.Entry{{Index: 8, Term: 2}}}},
		{begin, begin},
		{{Entries: []raft.Entry{{Index: 1, Term: 1}}}},
	} {
		var bodies [][]byte
		for _, r := range records {
			body, err := cbor.Marshal(r)
			if err != nil {
				f.Fatal(err)
			}
			bodies = append(bodies, body)
		}
		data, err := cbor.Marshal(bodies)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, uint64(0))
		f.Add(data, uint64(4))
		f.Add(segmentOf(bodies), uint64(0))
	}
	f.Fuzz(func(t *testing.T, data []byte, base uint64) {
		content := data
		var bodies [][]byte
		if cbor.Unmarshal(data, &bodies) == nil {
			content = segmentOf(bodies)
		}
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, segment{number: 1}.name()), content, filePerm); err != nil {
			t.Fatal(err)
		}
		l, stored, err := Open(OS{}, dir, raft.Snapshot{Index: base, Term: 1})
		if err != nil {
			return
		}
		defer func() { _ = l.Close() }()
		for i, e := range stored.Entries {
			if e.Index != base+1+uint64(i) {
				t.Fatalf("entry %d after position %d has index %d", i, base, e.Index)
			}
		}
		next := raft.Entry{Index: lastIndexOf(stored) + 1, Term: 9}
		if next.Index == 0 {
			return
		}
		if err := l.Save(nil, []raft.Entry{next}); err != nil {
			t.Fatal(err)
		}
		again, reopened, err := Open(OS{}, dir, stored.Snapshot)
		if err != nil {
			t.Fatalf("the log can't be opened again: %v", err)
		}
		_ = again.Close()
		same := func(a, b raft.Entry) bool { return a.Index == b.Index && a.Term == b.Term }
		if !slices.EqualFunc(reopened.Entries, append(stored.Entries, next), same) || reopened.HardState != stored.HardState {
			t.Fatalf("opened again: entries %v, state %v, want %v and %v", reopened.Entries, reopened.HardState, append(stored.Entries, next), stored.HardState)
		}
	})
}

// segmentOf returns the content of a segment with records of the given bodies.
func segmentOf(bodies [][]byte) []byte {
	var content []byte
	var sum uint32
	for _, body := range bodies {
		var rec []byte
		rec, sum = encodeRecord(sum, body)
		content = append(content, rec...)
	}
	return content
}
