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

// smallLimits lets a short log reach every limit.
var smallLimits = Options{MaxCalls: 6, MaxDroppedKeys: 1 << 15, MaxAcceptedChanges: 4, MaxRejectedChanges: 3, MaxPlacedOrders: 3, MaxCachedResults: 5}

func newProperties(t *testing.T) *gopter.Properties {
	t.Logf("seed %d", propertySeed)
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	params.MinSuccessfulTests = 400
	params.MaxSize = 120
	return gopter.NewProperties(params)
}

// randomCommand derives a command from a seed, so that a failing log can be
// shrunk seed by seed. There are only few names and contents, so that commands
// conflict.
func randomCommand(seed uint64, position int) control.Command {
	r := rand.New(rand.NewPCG(seed, 1))
	cmd := control.Command{
		ID: fmt.Sprintf("c%d", r.IntN(60)),
		VM: fmt.Sprintf("entry-%d", 1+r.IntN(3)),
		// Half an hour passes every 24 commands.
		Time: int64(position)*1000 + int64(position/24)*1_800_000 + r.Int64N(5000),
	}
	contents := []string{"priorities: {a: 1}\n", "priorities: {a: 2}\n", "bogus: 1\n", "accounts: {x: {share: 2}}\n"}
	bases := append([]string{""}, contents...)
	key := fmt.Sprintf("k%d", r.IntN(4))
	switch r.IntN(8) {
	case 0, 1, 2:
		cmd.Edit = editCommand(fmt.Sprintf("%d.yaml", r.IntN(3)), bases[r.IntN(len(bases))], contents[r.IntN(len(contents))]).Edit
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

func commandsFromSeeds(seeds []uint64) []control.Command {
	cmds := make([]control.Command, len(seeds))
	for i, seed := range seeds {
		cmds[i] = randomCommand(seed, i)
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
	ps := newProperties(t)
	ps.Property("same log gives same bytes, also after a restore", prop.ForAll(
		func(seeds []uint64, splitSeed uint64) bool {
			cmds := commandsFromSeeds(seeds)
			one, two, restored := New(smallLimits), New(smallLimits), New(smallLimits)
			applyAll(one, 0, cmds)
			applyAll(two, 0, cmds)
			split := int(splitSeed % uint64(len(cmds)+1))
			before := New(smallLimits)
			applyAll(before, 0, cmds[:split])
			if err := restored.Restore(snapshotOf(before)); err != nil {
				t.Error(err)
				return false
			}
			applyAll(restored, split, cmds)
			want := snapshotOf(one)
			return bytes.Equal(want, snapshotOf(two)) && bytes.Equal(want, snapshotOf(restored))
		}, gen.SliceOf(gen.UInt64()), gen.UInt64()))
	ps.TestingRun(t)
}

func TestCaptureIsUnaffectedByLaterCommands(t *testing.T) {
	ps := newProperties(t)
	ps.Property("a capture excludes later commands", prop.ForAll(
		func(before, after []uint64) bool {
			m := New(smallLimits)
			cmds := commandsFromSeeds(append(before, after...))
			applyAll(m, 0, cmds[:len(before)])
			want, encode := snapshotOf(m), m.Capture()
			applyAll(m, len(before), cmds)
			got, err := encode()
			return err == nil && bytes.Equal(want, got)
		}, gen.SliceOf(gen.UInt64()), gen.SliceOf(gen.UInt64())))
	ps.TestingRun(t)
}

// TestReservationsAreAtMostOnce checks only the results: after a reservation of
// a key was granted, it is granted again only to the same command or after a
// recorded not-run, even if records were dropped in between. The outcomes ran
// and unknown never change.
func TestReservationsAreAtMostOnce(t *testing.T) {
	ps := newProperties(t)
	ps.Property("one permitted execution per key", prop.ForAll(
		func(seeds []uint64) bool {
			m := New(smallLimits)
			permitted, final := map[string]string{}, map[string]string{}
			for i, cmd := range commandsFromSeeds(seeds) {
				res := m.Apply(uint64(i+1), 1, cmd)
				switch {
				case cmd.Reserve != nil && res.Code == 0:
					previous := permitted[cmd.Reserve.Key]
					if previous != "" && previous != cmd.ID {
						return false
					}
					permitted[cmd.Reserve.Key] = cmd.ID
				case cmd.Outcome != nil && res.Code == 0:
					o := cmd.Outcome
					if final[o.Key] != "" && final[o.Key] != o.Verdict {
						return false
					}
					if o.Verdict == control.AttemptNotRun {
						delete(permitted, o.Key)
						continue
					}
					permitted[o.Key], final[o.Key] = "decided", o.Verdict
				}
			}
			return true
		}, gen.SliceOf(gen.UInt64())))
	ps.TestingRun(t)
}

// TestRevisionsCountAcceptedEdits checks files and revisions against a model
// without history, retries and snapshots.
func TestRevisionsCountAcceptedEdits(t *testing.T) {
	ps := newProperties(t)
	ps.Property("each accepted change makes one revision", prop.ForAll(
		func(seeds []uint64) bool {
			m := New(smallLimits)
			files := map[string]string{}
			var revision uint64
			for i, cmd := range commandsFromSeeds(seeds) {
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

func TestConcurrentReadsDuringApply(t *testing.T) {
	m := New(smallLimits)
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
		m.Apply(uint64(i+1), 1, randomCommand(r.Uint64(), i))
	}
	close(stop)
	readers.Wait()
}

func TestDroppedCallsAreRejected(t *testing.T) {
	m := newTestMachine(smallLimits)
	reserve := func(id, key string) control.Result {
		return m.apply(id, control.Command{Reserve: &control.Reserve{Account: "x", Key: key, Agent: "a1", Attempt: 1}})
	}
	outcome := func(id, key, verdict string) control.Result {
		return m.apply(id, control.Command{Outcome: &control.RecordOutcome{Account: "x", Key: key, Attempt: 1, Verdict: verdict}})
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
	m.lastTime += 2 * hours
	wantCode(t, reserve("8", "ran"), result.KeyExpired)
	wantCode(t, reserve("9", "open"), result.KeyExpired)
	wantCode(t, reserve("10", "not-run"), result.OK)
	wantCode(t, outcome("11", "open", control.AttemptRan), result.NotFound)
	// A key that contains its creation time is rejected for its age alone.
	wantCode(t, reserve("12", "00000000-0001-7000-8000-000000000001"), result.KeyExpired)
	for i := range smallLimits.MaxCalls - 1 {
		wantCode(t, reserve(fmt.Sprint("f", i), fmt.Sprint("full", i)), result.OK)
	}
	wantCode(t, reserve("13", "one more"), result.RecordsFull)
}

func TestFastClockDoesNotExpireRecords(t *testing.T) {
	m := New(Options{})
	reserveAt := func(index uint64, vm string, time int64) control.Result {
		return m.Apply(index, 1, control.Command{ID: fmt.Sprint(index), VM: vm, Time: time, Reserve: &control.Reserve{
			Account: "x", Key: fmt.Sprint(index), Agent: "a", Attempt: 1,
		}})
	}
	const day = 24 * 3_600_000
	reserveAt(1, "entry-1", 1000)
	reserveAt(2, "entry-2", 1001)
	reserveAt(3, "entry-3", 1002+30*day)
	if _, ok := m.Call("x", "1"); !ok {
		t.Error("one clock that is ahead expired a record")
	}
	reserveAt(4, "entry-2", 1003+day)
	if _, ok := m.Call("x", "1"); ok {
		t.Error("the record was not expired although two clocks passed the retention")
	}
}

// TestRecordsHaveProposerTime checks that records show the proposer's time even
// while the replicated clock is held back by a VM that proposes nothing.
func TestRecordsHaveProposerTime(t *testing.T) {
	m := newTestMachine(Options{})
	m.Apply(1, 1, control.Command{ID: "1", VM: "entry-2", Time: 10})
	m.lastIndex, m.lastTime = 1, 3_600_000
	res := m.apply("2", control.Command{Reserve: &control.Reserve{Account: "x", Key: "k", Agent: "a", Attempt: 1}})
	if res.Call.Time != 3_600_001 {
		t.Errorf("reserve: record has time %d", res.Call.Time)
	}
	res = m.apply("3", control.Command{Outcome: &control.RecordOutcome{Account: "x", Key: "k", Attempt: 1, Verdict: control.AttemptRan}})
	if res.Call.Time != 3_600_002 {
		t.Errorf("outcome: record has time %d", res.Call.Time)
	}
}
