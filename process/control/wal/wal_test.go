package wal_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/waxwingpost/waxwingpost/process/control/internal/faultdisk"
	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/control/wal"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const dir = "data"

func newDisk(seed uint64) *faultdisk.Disk {
	return faultdisk.New(rand.New(rand.NewPCG(seed, 7)))
}

// mirror is what a log is expected to hold.
type mirror struct {
	hard    raft.HardState
	snap    raft.Snapshot
	entries []raft.Entry
}

func (m mirror) clone() mirror {
	m.entries = append([]raft.Entry(nil), m.entries...)
	return m
}

func (m *mirror) last() uint64 { return m.snap.Index + uint64(len(m.entries)) }

// op is one call on a log and its effect on what is expected.
type op struct {
	name  string
	run   func(l *wal.Log) error
	apply func(m *mirror)
}

// script returns a series of calls as a replica makes them: appends, truncating
// appends, own snapshots and installed ones.
func script(rnd *rand.Rand, steps int) []op {
	var ops []op
	m := mirror{}
	term := uint64(1)
	for i := range steps {
		o := nextOp(rnd, m.clone(), &term, i)
		o.apply(&m)
		ops = append(ops, o)
	}
	return ops
}

func nextOp(rnd *rand.Rand, m mirror, term *uint64, i int) op {
	switch roll := rnd.IntN(10); {
	case roll == 0 && len(m.entries) > 1:
		at := rnd.IntN(len(m.entries)-1) + 1
		e := m.entries[at-1]
		s := raft.Snapshot{Index: e.Index, Term: e.Term, Data: fmt.Appendf(nil, "own %d", i)}
		return op{"snapshot", func(l *wal.Log) error { return l.SaveSnapshot(s) }, func(m *mirror) {
			m.snap, m.entries = s, m.entries[at:]
		}}
	case roll == 1:
		*term++
		s := raft.Snapshot{Index: m.last() + 5, Term: *term, Data: fmt.Appendf(nil, "sent %d", i)}
		hs := raft.HardState{Term: *term, Commit: s.Index}
		return op{"install", func(l *wal.Log) error { return l.Install(s, hs) }, func(m *mirror) {
			*m = mirror{hard: hs, snap: s}
		}}
	default:
		return appendOp(rnd, m, term, i)
	}
}

func appendOp(rnd *rand.Rand, m mirror, term *uint64, i int) op {
	first := m.last() + 1
	if rnd.IntN(4) == 0 && len(m.entries) > 2 {
		first = m.entries[len(m.entries)-1-rnd.IntN(2)].Index
		*term++
	}
	var entries []raft.Entry
	for n := range rnd.IntN(4) + 1 {
		data := make([]byte, rnd.IntN(700)+1)
		for j := range data {
			data[j] = byte(i + j + 1)
		}
		entries = append(entries, raft.Entry{Index: first + uint64(n), Term: *term, Kind: raft.EntryCommand, Data: data})
	}
	hs := raft.HardState{Term: *term, Vote: fmt.Sprint("v", *term), Commit: m.snap.Index}
	return op{"save", func(l *wal.Log) error { return l.Save(&hs, entries) }, func(m *mirror) {
		m.hard = hs
		m.entries = append(m.entries[:first-m.snap.Index-1:first-m.snap.Index-1], entries...)
	}}
}

func open(d *faultdisk.Disk) (*wal.Log, mirror, error) { return openSized(d, 0) }

// openSized opens a log whose segments end at a size.
func openSized(d *faultdisk.Disk, segmentBytes int64) (*wal.Log, mirror, error) {
	l, stored, err := wal.Open(d, dir, raft.Snapshot{})
	if err == nil {
		l.SetSegmentBytes(segmentBytes)
	}
	return l, mirror{stored.HardState, stored.Snapshot, stored.Entries}, err
}

func same(a, b mirror) bool {
	if len(a.entries) == 0 && len(b.entries) == 0 {
		a.entries, b.entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// A crash in any operation on the disk leaves all that was acknowledged, and of
// the call in progress all or nothing.
func TestCrashAtEveryOperationKeepsWhatWasSynced(t *testing.T) {
	// A segment of 0 bytes ends at every snapshot, one of 4 KiB outlives some.
	for _, segmentBytes := range []int64{0, 4 << 10} {
		for seed := uint64(1); seed <= 6; seed++ {
			ops := script(rand.New(rand.NewPCG(seed, 0)), 40)
			for at := 0; ; at++ {
				if finished := crashRun(t, seed, segmentBytes, ops, at); finished || t.Failed() {
					break
				}
			}
		}
	}
}

// crashRun plays the script with a crash after the given number of operations,
// reopens, and goes on to the end. It reports whether the crash came too late.
func crashRun(t *testing.T, seed uint64, segmentBytes int64, ops []op, at int) bool {
	t.Helper()
	d := newDisk(seed*1000 + uint64(at))
	if err := wal.Create(d, dir); err != nil {
		t.Fatal(err)
	}
	d.CrashAfter(at)
	l, want, err := openSized(d, segmentBytes)
	for i := 0; i < len(ops); i++ {
		if err == nil {
			if err = ops[i].run(l); err == nil {
				ops[i].apply(&want)
				continue
			}
		}
		if !d.Crashed() {
			t.Fatalf("seed %d crash %d: %s failed: %v", seed, at, ops[i].name, err)
		}
		d.Restart()
		var got mirror
		if l, got, err = openSized(d, segmentBytes); err != nil {
			t.Fatalf("seed %d crash %d in %s: reopen: %v", seed, at, ops[i].name, err)
		}
		after := want.clone()
		ops[i].apply(&after)
		switch {
		case same(got, after):
			want = after
		case ops[i].name == "install" && same(got, mirror{hard: want.hard, snap: after.snap}):
			// The snapshot is in place, the hard state is not: it is saved anew.
			want = got
			rest := append([]op{hardOnly(after.hard)}, ops[i+1:]...)
			ops = append(append([]op(nil), ops[:i]...), rest...)
			i--
		case same(got, want):
			i--
		default:
			t.Fatalf("seed %d crash %d in %s:\n got %d+%d %+v\nwant %d+%d %+v", seed, at, ops[i].name,
				got.snap.Index, len(got.entries), got.hard, want.snap.Index, len(want.entries), want.hard)
		}
	}
	finished := !d.Crashed() && d.Ops <= at
	d.Restart()
	if _, got, err := openSized(d, segmentBytes); err != nil || !same(got, want) {
		t.Fatalf("seed %d crash %d: after the end: %v, %d entries of %d", seed, at, err, len(got.entries), len(want.entries))
	}
	return finished
}

func hardOnly(hs raft.HardState) op {
	return op{"save", func(l *wal.Log) error { return l.Save(&hs, nil) }, func(m *mirror) { m.hard = hs }}
}

// fill writes batches and returns the segment's name and what it holds after
// each batch.
func fill(t *testing.T, d *faultdisk.Disk, batches int) (string, []int) {
	t.Helper()
	if err := wal.Create(d, dir); err != nil {
		t.Fatal(err)
	}
	l, _, err := open(d)
	if err != nil {
		t.Fatal(err)
	}
	name := d.Find("log-")[0]
	var sizes []int
	for i := range batches {
		e := raft.Entry{Index: uint64(i + 1), Term: 1, Kind: raft.EntryCommand, Data: []byte(fmt.Sprint("command ", i))}
		if err := l.Save(&raft.HardState{Term: 1, Vote: "a"}, []raft.Entry{e}); err != nil {
			t.Fatal(err)
		}
		data, _ := d.ReadFile(name)
		sizes = append(sizes, len(data))
	}
	return name, sizes
}

func TestTailTornAtEveryByteIsCut(t *testing.T) {
	d := newDisk(1)
	name, sizes := fill(t, d, 6)
	whole, _ := d.ReadFile(name)
	for cut := sizes[0]; cut <= len(whole); cut++ {
		d.Write(name, whole[:cut])
		_, got, err := open(d)
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		want := 0
		for _, size := range sizes {
			if cut >= size {
				want++
			}
		}
		if len(got.entries) != want {
			t.Fatalf("cut at %d: %d entries, want %d", cut, len(got.entries), want)
		}
	}
}

func TestEveryFlippedBitIsReported(t *testing.T) {
	d := newDisk(2)
	name, _ := fill(t, d, 4)
	whole, _ := d.ReadFile(name)
	for bit := range len(whole) * 8 {
		d.Write(name, whole)
		d.Flip(name, bit)
		if _, _, err := open(d); result.CodeOf(err) != result.LogDamaged {
			t.Fatalf("bit %d of byte %d: %v, want code %d", bit%8, bit/8, err, result.LogDamaged)
		}
	}
}

func TestDamagedSnapshotAndMissingFilesAreReported(t *testing.T) {
	build := func() *faultdisk.Disk {
		d := newDisk(3)
		fill(t, d, 10)
		l, _, err := open(d)
		if err != nil {
			t.Fatal(err)
		}
		if err := l.SaveSnapshot(raft.Snapshot{Index: 5, Term: 1, Data: []byte("state")}); err != nil {
			t.Fatal(err)
		}
		return d
	}
	d := build()
	d.Flip(d.Find("snapshot-")[0], 160)
	if _, _, err := open(d); result.CodeOf(err) != result.SnapshotDamaged {
		t.Errorf("flipped snapshot: %v", err)
	}
	for _, prefix := range []string{"log-", "snapshot-"} {
		d := build()
		if err := d.Remove(d.Find(prefix)[0]); err != nil {
			t.Fatal(err)
		}
		_, got, err := open(d)
		if prefix == "log-" && err == nil && len(got.entries) == 5 {
			t.Error("a missing segment went unnoticed")
		}
		if err == nil && got.snap.Index+uint64(len(got.entries)) < 10 {
			t.Errorf("without %s: silently %d+%d", prefix, got.snap.Index, len(got.entries))
		}
	}
	d = build()
	for _, name := range d.Find("log-") {
		if err := d.Remove(name); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := open(d); result.CodeOf(err) != result.LogDamaged {
		t.Errorf("without any segment: %v", err)
	}
}

func TestFailedSyncPoisonsTheLog(t *testing.T) {
	d := newDisk(4)
	fill(t, d, 1)
	l, _, err := open(d)
	if err != nil {
		t.Fatal(err)
	}
	entry := []raft.Entry{{Index: 2, Term: 1}}
	d.CrashAfter(1)
	for range 2 {
		if err := l.Save(nil, entry); result.CodeOf(err) != result.DiskFailed {
			t.Fatalf("got %v, want code %d", err, result.DiskFailed)
		}
		d.Recover()
	}
}
