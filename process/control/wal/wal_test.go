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

// expectedLog is the expected content of a log.
type expectedLog struct {
	hardState raft.HardState
	snapshot  raft.Snapshot
	entries   []raft.Entry
}

func (m expectedLog) clone() expectedLog {
	m.entries = append([]raft.Entry(nil), m.entries...)
	return m
}

func (m *expectedLog) lastIndex() uint64 { return m.snapshot.Index + uint64(len(m.entries)) }

// logOp is a call on a log and its effect on the expected content.
type logOp struct {
	name  string
	run   func(l *wal.Log) error
	apply func(m *expectedLog)
}

// randomOps returns a random sequence of the calls that a replica makes:
// appends, appends that truncate, own snapshots and installed snapshots.
func randomOps(rnd *rand.Rand, steps int) []logOp {
	var ops []logOp
	m := expectedLog{}
	term := uint64(1)
	for i := range steps {
		o := randomOp(rnd, m.clone(), &term, i)
		o.apply(&m)
		ops = append(ops, o)
	}
	return ops
}

func randomOp(rnd *rand.Rand, m expectedLog, term *uint64, i int) logOp {
	switch roll := rnd.IntN(10); {
	case roll == 0 && len(m.entries) > 1:
		n := rnd.IntN(len(m.entries)-1) + 1
		e := m.entries[n-1]
		s := raft.Snapshot{Index: e.Index, Term: e.Term, Data: fmt.Appendf(nil, "own %d", i)}
		return logOp{"snapshot", func(l *wal.Log) error { return l.SaveSnapshot(s) }, func(m *expectedLog) {
			m.snapshot, m.entries = s, m.entries[n:]
		}}
	case roll == 1:
		*term++
		s := raft.Snapshot{Index: m.lastIndex() + 5, Term: *term, Data: fmt.Appendf(nil, "sent %d", i)}
		hs := raft.HardState{Term: *term, Commit: s.Index}
		return logOp{"install", func(l *wal.Log) error { return l.Install(s, hs) }, func(m *expectedLog) {
			*m = expectedLog{hardState: hs, snapshot: s}
		}}
	default:
		return randomSaveOp(rnd, m, term, i)
	}
}

func randomSaveOp(rnd *rand.Rand, m expectedLog, term *uint64, i int) logOp {
	first := m.lastIndex() + 1
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
	hs := raft.HardState{Term: *term, Vote: fmt.Sprint("v", *term), Commit: m.snapshot.Index}
	return logOp{"save", func(l *wal.Log) error { return l.Save(&hs, entries) }, func(m *expectedLog) {
		m.hardState = hs
		m.entries = append(m.entries[:first-m.snapshot.Index-1:first-m.snapshot.Index-1], entries...)
	}}
}

func openLog(d *faultdisk.Disk) (*wal.Log, expectedLog, error) { return openLogWithSegmentBytes(d, 0) }

// openLogWithSegmentBytes opens a log with the given segment size.
func openLogWithSegmentBytes(d *faultdisk.Disk, segmentBytes int64) (*wal.Log, expectedLog, error) {
	l, stored, err := wal.Open(d, dir, raft.Snapshot{})
	if err == nil {
		l.SetSegmentBytes(segmentBytes)
	}
	return l, expectedLog{stored.HardState, stored.Snapshot, stored.Entries}, err
}

func equalLogs(a, b expectedLog) bool {
	if len(a.entries) == 0 && len(b.entries) == 0 {
		a.entries, b.entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// After a crash in any disk operation the log must have all acknowledged data,
// and either all or nothing of the call in progress.
func TestCrashAtEveryOperationKeepsSyncedData(t *testing.T) {
	// With 0 a new segment starts at every snapshot; a segment of 4 KiB spans
	// several snapshots.
	for _, segmentBytes := range []int64{0, 4 << 10} {
		for seed := uint64(1); seed <= 6; seed++ {
			ops := randomOps(rand.New(rand.NewPCG(seed, 0)), 40)
			for crashAfter := 0; ; crashAfter++ {
				if finished := runWithCrash(t, seed, segmentBytes, ops, crashAfter); finished || t.Failed() {
					break
				}
			}
		}
	}
}

// runWithCrash runs ops with a crash after the given number of disk operations,
// reopens the log and runs the remaining ops. It reports whether all ops
// finished before the crash.
func runWithCrash(t *testing.T, seed uint64, segmentBytes int64, ops []logOp, crashAfter int) bool {
	t.Helper()
	d := newDisk(seed*1000 + uint64(crashAfter))
	if err := wal.Create(d, dir); err != nil {
		t.Fatal(err)
	}
	d.CrashAfter(crashAfter)
	l, want, err := openLogWithSegmentBytes(d, segmentBytes)
	for i := 0; i < len(ops); i++ {
		if err == nil {
			if err = ops[i].run(l); err == nil {
				ops[i].apply(&want)
				continue
			}
		}
		if !d.Crashed() {
			t.Fatalf("seed %d crash %d: %s failed: %v", seed, crashAfter, ops[i].name, err)
		}
		d.Restart()
		var got expectedLog
		if l, got, err = openLogWithSegmentBytes(d, segmentBytes); err != nil {
			t.Fatalf("seed %d crash %d in %s: reopen: %v", seed, crashAfter, ops[i].name, err)
		}
		after := want.clone()
		ops[i].apply(&after)
		switch {
		case equalLogs(got, after):
			want = after
		case ops[i].name == "install" && equalLogs(got, expectedLog{hardState: want.hardState, snapshot: after.snapshot}):
			// The snapshot was saved, but the hard state was not: save it again.
			want = got
			remaining := append([]logOp{saveHardStateOp(after.hardState)}, ops[i+1:]...)
			ops = append(append([]logOp(nil), ops[:i]...), remaining...)
			i--
		case equalLogs(got, want):
			i--
		default:
			t.Fatalf("seed %d crash %d in %s:\n got %d+%d %+v\nwant %d+%d %+v", seed, crashAfter, ops[i].name,
				got.snapshot.Index, len(got.entries), got.hardState, want.snapshot.Index, len(want.entries), want.hardState)
		}
	}
	finished := !d.Crashed() && d.Ops <= crashAfter
	d.Restart()
	if _, got, err := openLogWithSegmentBytes(d, segmentBytes); err != nil || !equalLogs(got, want) {
		t.Fatalf("seed %d crash %d: final reopen: %v, %d entries of %d", seed, crashAfter, err, len(got.entries), len(want.entries))
	}
	return finished
}

func saveHardStateOp(hs raft.HardState) logOp {
	return logOp{"save", func(l *wal.Log) error { return l.Save(&hs, nil) }, func(m *expectedLog) { m.hardState = hs }}
}

// writeBatches saves the given number of batches. It returns the segment's name
// and its size after each batch.
func writeBatches(t *testing.T, d *faultdisk.Disk, batches int) (string, []int) {
	t.Helper()
	if err := wal.Create(d, dir); err != nil {
		t.Fatal(err)
	}
	l, _, err := openLog(d)
	if err != nil {
		t.Fatal(err)
	}
	name := d.FindByPrefix("log-")[0]
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

func TestTornTailIsTruncatedAtEveryByte(t *testing.T) {
	d := newDisk(1)
	name, batchEnds := writeBatches(t, d, 6)
	complete, _ := d.ReadFile(name)
	for size := batchEnds[0]; size <= len(complete); size++ {
		d.WriteDurable(name, complete[:size])
		_, got, err := openLog(d)
		if err != nil {
			t.Fatalf("cut at %d: %v", size, err)
		}
		want := 0
		for _, batchEnd := range batchEnds {
			if size >= batchEnd {
				want++
			}
		}
		if len(got.entries) != want {
			t.Fatalf("cut at %d: %d entries, want %d", size, len(got.entries), want)
		}
	}
}

func TestEveryBitFlipIsDetected(t *testing.T) {
	d := newDisk(2)
	name, _ := writeBatches(t, d, 4)
	complete, _ := d.ReadFile(name)
	for bit := range len(complete) * 8 {
		d.WriteDurable(name, complete)
		d.FlipBit(name, bit)
		if _, _, err := openLog(d); result.CodeOf(err) != result.LogDamaged {
			t.Fatalf("bit %d of byte %d: %v, want code %d", bit%8, bit/8, err, result.LogDamaged)
		}
	}
}

func TestDamagedSnapshotAndMissingFilesAreDetected(t *testing.T) {
	build := func() *faultdisk.Disk {
		d := newDisk(3)
		writeBatches(t, d, 10)
		l, _, err := openLog(d)
		if err != nil {
			t.Fatal(err)
		}
		if err := l.SaveSnapshot(raft.Snapshot{Index: 5, Term: 1, Data: []byte("state")}); err != nil {
			t.Fatal(err)
		}
		return d
	}
	d := build()
	d.FlipBit(d.FindByPrefix("snapshot-")[0], 160)
	if _, _, err := openLog(d); result.CodeOf(err) != result.SnapshotDamaged {
		t.Errorf("snapshot with a flipped bit: %v", err)
	}
	for _, prefix := range []string{"log-", "snapshot-"} {
		d := build()
		if err := d.Remove(d.FindByPrefix(prefix)[0]); err != nil {
			t.Fatal(err)
		}
		_, got, err := openLog(d)
		if prefix == "log-" && err == nil && len(got.entries) == 5 {
			t.Error("a missing segment was not detected")
		}
		if err == nil && got.snapshot.Index+uint64(len(got.entries)) < 10 {
			t.Errorf("without %s: no error, but only index %d and %d entries", prefix, got.snapshot.Index, len(got.entries))
		}
	}
	d = build()
	for _, name := range d.FindByPrefix("log-") {
		if err := d.Remove(name); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := openLog(d); result.CodeOf(err) != result.LogDamaged {
		t.Errorf("without any segment: %v", err)
	}
}

func TestFailedSyncDisablesLog(t *testing.T) {
	d := newDisk(4)
	writeBatches(t, d, 1)
	l, _, err := openLog(d)
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

// A crash after the snapshot was written leaves the conflicting entries in the open segment.
func TestEntriesAfterASnapshotThatReplacedTheLogAreKept(t *testing.T) {
	for index := uint64(1); index <= 4; index++ {
		d := newDisk(index)
		if err := wal.Create(d, dir); err != nil {
			t.Fatal(err)
		}
		l, _, err := openLog(d)
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Save(nil, []raft.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}); err != nil {
			t.Fatal(err)
		}
		if err := l.WriteSnapshot(raft.Snapshot{Index: index, Term: 2}); err != nil {
			t.Fatal(err)
		}
		l, stored, err := openLog(d)
		if err != nil || len(stored.entries) != 0 {
			t.Fatalf("snapshot %d: entries %v, %v", index, stored.entries, err)
		}
		if err := l.Save(nil, []raft.Entry{{Index: index + 1, Term: 3}}); err != nil {
			t.Fatal(err)
		}
		if _, stored, err = openLog(d); err != nil || len(stored.entries) != 1 || stored.entries[0].Term != 3 {
			t.Errorf("snapshot %d: entries %v after the next start, %v", index, stored.entries, err)
		}
	}
}
