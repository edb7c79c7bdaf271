package state

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

const propertySeed = 20261203

// smallOptions lets every bound be met within a short log.
var smallOptions = Options{MaxCalls: 6, MaxForgotten: 1 << 15, MaxChanges: 4, MaxRefusals: 3, MaxOrders: 3, MaxApplied: 5}

func properties(t *testing.T) *gopter.Properties {
	t.Logf("seed %d", propertySeed)
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	params.MinSuccessfulTests = 400
	params.MaxSize = 120
	return gopter.NewProperties(params)
}

// commandOf derives a command from a gene, so that logs shrink gene by gene.
// Few names and contents make commands meet.
func commandOf(gene uint64, position int) control.Command {
	r := rand.New(rand.NewPCG(gene, 1))
	cmd := control.Command{
		ID: fmt.Sprintf("c%d", r.IntN(60)),
		VM: fmt.Sprintf("entry-%d", 1+r.IntN(3)),
		// Now and then half an hour passes.
		Time: int64(position)*1000 + int64(position/24)*1_800_000 + r.Int64N(5000),
	}
	contents := []string{"priorities: {a: 1}\n", "priorities: {a: 2}\n", "bogus: 1\n", "accounts: {x: {share: 2}}\n"}
	bases := append([]string{""}, contents...)
	key := fmt.Sprintf("k%d", r.IntN(4))
	switch r.IntN(8) {
	case 0, 1, 2:
		cmd.Edit = edit(fmt.Sprintf("%d.yaml", r.IntN(3)), bases[r.IntN(len(bases))], contents[r.IntN(len(contents))]).Edit
		cmd.Edit.Remove = r.IntN(4) == 0
		cmd.Edit.Revision = uint64(r.IntN(6))
	case 3:
		m := manifest.Build(fmt.Sprintf("v%d", r.IntN(2)), []byte{byte(r.IntN(2)), 1, 2}, 2)
		cmd.Register = &control.RegisterVersion{Manifest: *m}
	case 4:
		cmd.Order = &control.PlaceOrder{Agent: fmt.Sprintf("a%d", r.IntN(2)), Version: "v1", After: uint64(r.IntN(6))}
	case 5, 6:
		cmd.Reserve = &control.Reserve{
			Account: "x", Key: key, BodyDigest: manifest.Sum([]byte{byte(r.IntN(4) / 3)}), Agent: "a1",
			Incarnation: "i", Attempt: 1 + r.IntN(3), Entry: cmd.VM,
		}
	case 7:
		verdicts := []string{control.AttemptNotRun, control.AttemptRan, control.AttemptUnknown, "bogus"}
		cmd.Outcome = &control.RecordOutcome{Account: "x", Key: key, Attempt: 1 + r.IntN(3), Verdict: verdicts[r.IntN(4)]}
	}
	return cmd
}

func logOf(genes []uint64) []control.Command {
	cmds := make([]control.Command, len(genes))
	for i, g := range genes {
		cmds[i] = commandOf(g, i)
	}
	return cmds
}

func applyAll(m *Machine, from int, cmds []control.Command) {
	for i, cmd := range cmds[from:] {
		m.Apply(uint64(from+i+1), 1, cmd)
	}
}

func snapshotOf(m *Machine) []byte {
	data, err := m.Snapshot()
	if err != nil {
		panic(err)
	}
	return data
}

func TestEqualLogsGiveEqualSnapshots(t *testing.T) {
	ps := properties(t)
	ps.Property("same log, same bytes, also across a restore", prop.ForAll(
		func(genes []uint64, cut uint64) bool {
			cmds := logOf(genes)
			one, two, restored := New(smallOptions), New(smallOptions), New(smallOptions)
			applyAll(one, 0, cmds)
			applyAll(two, 0, cmds)
			at := int(cut % uint64(len(cmds)+1))
			before := New(smallOptions)
			applyAll(before, 0, cmds[:at])
			if err := restored.Restore(snapshotOf(before)); err != nil {
				t.Error(err)
				return false
			}
			applyAll(restored, at, cmds)
			want := snapshotOf(one)
			return bytes.Equal(want, snapshotOf(two)) && bytes.Equal(want, snapshotOf(restored))
		}, gen.SliceOf(gen.UInt64()), gen.UInt64()))
	ps.TestingRun(t)
}

func TestCaptureStaysAsItWas(t *testing.T) {
	ps := properties(t)
	ps.Property("later commands don't show", prop.ForAll(
		func(before, after []uint64) bool {
			m := New(smallOptions)
			cmds := logOf(append(before, after...))
			applyAll(m, 0, cmds[:len(before)])
			want, encode := snapshotOf(m), m.Capture()
			applyAll(m, len(before), cmds)
			got, err := encode()
			return err == nil && bytes.Equal(want, got)
		}, gen.SliceOf(gen.UInt64()), gen.SliceOf(gen.UInt64())))
	ps.TestingRun(t)
}

// TestReservationsAreAtMostOnce judges by the answers alone: a key whose run
// was permitted is permitted again only to the same command or after a
// recorded not-run, also when records have been dropped in between. A verdict
// of ran or unknown stays.
func TestReservationsAreAtMostOnce(t *testing.T) {
	ps := properties(t)
	ps.Property("one permitted run a key", prop.ForAll(
		func(genes []uint64) bool {
			m := New(smallOptions)
			holder, final := map[string]string{}, map[string]string{}
			for i, cmd := range logOf(genes) {
				res := m.Apply(uint64(i+1), 1, cmd)
				switch {
				case cmd.Reserve != nil && res.Code == 0:
					have := holder[cmd.Reserve.Key]
					if have != "" && have != cmd.ID {
						return false
					}
					holder[cmd.Reserve.Key] = cmd.ID
				case cmd.Outcome != nil && res.Code == 0:
					o := cmd.Outcome
					if final[o.Key] != "" && final[o.Key] != o.Verdict {
						return false
					}
					if o.Verdict == control.AttemptNotRun {
						delete(holder, o.Key)
						continue
					}
					holder[o.Key], final[o.Key] = "decided", o.Verdict
				}
			}
			return true
		}, gen.SliceOf(gen.UInt64())))
	ps.TestingRun(t)
}

// TestRevisionsCountAcceptedEdits checks files and revisions against a model
// that knows nothing of history, resends or snapshots.
func TestRevisionsCountAcceptedEdits(t *testing.T) {
	ps := properties(t)
	ps.Property("a revision is one accepted change", prop.ForAll(
		func(genes []uint64) bool {
			m := New(smallOptions)
			files := map[string]string{}
			var revision uint64
			for i, cmd := range logOf(genes) {
				res := m.Apply(uint64(i+1), 1, cmd)
				if cmd.Edit != nil && res.Code == 0 && res.Revision == revision+1 && res.Index == uint64(i+1) {
					revision++
					files[cmd.Edit.File] = string(cmd.Edit.Content)
					if cmd.Edit.Remove {
						delete(files, cmd.Edit.File)
					}
				}
				if _, got := m.Config(); got != revision {
					return false
				}
			}
			for _, f := range m.Files() {
				if files[f.Name] != string(f.Content) {
					return false
				}
				delete(files, f.Name)
			}
			return len(files) == 0
		}, gen.SliceOf(gen.UInt64())))
	ps.TestingRun(t)
}

func TestReadsRunBesideApply(t *testing.T) {
	m := New(smallOptions)
	r := rand.New(rand.NewPCG(propertySeed, 2))
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			last := uint64(0)
			for {
				select {
				case <-stop:
					return
				default:
				}
				if _, revision := m.Config(); revision < last {
					t.Errorf("revision went from %d to %d", last, revision)
				} else {
					last = revision
				}
				m.Files()
				m.Orders()
				m.Call("x", "k1")
				m.Dump()
				_, _ = m.Explain("file:0.yaml")
				_, _ = m.Snapshot()
			}
		})
	}
	for i := range 2000 {
		m.Apply(uint64(i+1), 1, commandOf(r.Uint64(), i))
	}
	close(stop)
	readers.Wait()
}

func TestDroppedCallsAreRefused(t *testing.T) {
	r := newReplica(smallOptions)
	reserve := func(id, key string) control.Result {
		return r.do(id, control.Command{Reserve: &control.Reserve{Account: "x", Key: key, Agent: "a1", Attempt: 1}})
	}
	outcome := func(id, key, verdict string) control.Result {
		return r.do(id, control.Command{Outcome: &control.RecordOutcome{Account: "x", Key: key, Attempt: 1, Verdict: verdict}})
	}
	const hours = 3_600_000
	wantCode(t, reserve("1", "ran"), result.OK)
	wantCode(t, reserve("2", "not-run"), result.OK)
	wantCode(t, reserve("3", "open"), result.OK)
	wantCode(t, outcome("4", "ran", control.AttemptRan), result.OK)
	wantCode(t, outcome("5", "not-run", control.AttemptNotRun), result.OK)
	wantCode(t, reserve("6", "ran"), result.AlreadyRan)
	wantCode(t, reserve("7", "open"), result.InProgress)
	wantCode(t, reserve("3", "open"), result.OK)
	r.time += 2 * hours
	wantCode(t, reserve("8", "ran"), result.KeyExpired)
	wantCode(t, reserve("9", "open"), result.KeyExpired)
	wantCode(t, reserve("10", "not-run"), result.OK)
	wantCode(t, outcome("11", "open", control.AttemptRan), result.NotFound)
	// A key that tells its time is refused by that alone.
	wantCode(t, reserve("12", "00000000-0001-7000-8000-000000000001"), result.KeyExpired)
	for i := range smallOptions.MaxCalls - 1 {
		wantCode(t, reserve(fmt.Sprint("f", i), fmt.Sprint("full", i)), result.OK)
	}
	wantCode(t, reserve("13", "one more"), result.RecordsFull)
}

func TestOneFastClockAgesNoRecord(t *testing.T) {
	m := New(Options{})
	stamp := func(index uint64, vm string, time int64) control.Result {
		return m.Apply(index, 1, control.Command{ID: fmt.Sprint(index), VM: vm, Time: time, Reserve: &control.Reserve{
			Account: "x", Key: fmt.Sprint(index), Agent: "a", Attempt: 1,
		}})
	}
	const day = 24 * 3_600_000
	stamp(1, "entry-1", 1000)
	stamp(2, "entry-2", 1001)
	stamp(3, "entry-3", 1002+30*day)
	if _, ok := m.Call("x", "1"); !ok {
		t.Error("a clock that runs ahead dropped a record")
	}
	stamp(4, "entry-2", 1003+day)
	if _, ok := m.Call("x", "1"); ok {
		t.Error("two clocks passed the retention and the record is kept")
	}
}

// TestRecordsTellTheProposersTime lets one VM stay silent: the machine's clock
// waits for it, the times that callers and operators are told don't.
func TestRecordsTellTheProposersTime(t *testing.T) {
	r := newReplica(Options{})
	r.Apply(1, 1, control.Command{ID: "1", VM: "entry-2", Time: 10})
	r.next, r.time = 1, 3_600_000
	res := r.do("2", control.Command{Reserve: &control.Reserve{Account: "x", Key: "k", Agent: "a", Attempt: 1}})
	if res.Call.Time != 3_600_001 {
		t.Errorf("reserved at %d", res.Call.Time)
	}
	res = r.do("3", control.Command{Outcome: &control.RecordOutcome{Account: "x", Key: "k", Attempt: 1, Verdict: control.AttemptRan}})
	if res.Call.Time != 3_600_002 {
		t.Errorf("decided at %d", res.Call.Time)
	}
}
