package node

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/raft"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

var (
	simSeed  = flag.Uint64("sim.seed", 0, "run only this seed")
	simSeeds = flag.Int("sim.seeds", 60, "number of seeds to run")
)

// casAuthor, as the author of an edit, makes it a compare-and-set on its base.
const casAuthor = "cas"

// opInput is a client's request to one key.
type opInput struct {
	key   string
	write bool
	cas   bool
	base  string
	value string
}

// opOutput is the result that the client received.
type opOutput struct {
	value   string
	refused bool
	unknown bool
}

// clientOp is an operation of a client.
type clientOp struct {
	id           string
	input        opInput
	output       opOutput
	begin        int64
	end          int64
	acknowledged bool
	// attempts counts how often the operation was sent.
	attempts int
	retryAt  int
	pending  bool
}

// simClients sends operations through all hosts and records the results.
type simClients struct {
	world   *simWorld
	clock   int64
	ops     []*clientOp
	stopped bool
	maxOps  int
}

func newSimClients(w *simWorld) *simClients { return &simClients{world: w, maxOps: 160} }

func (c *simClients) nextTime() int64 {
	c.clock++
	return c.clock
}

// step retries unanswered operations and starts new ones.
func (c *simClients) step() {
	w := c.world
	pending := 0
	for _, op := range c.ops {
		if !op.pending {
			continue
		}
		pending++
		if w.now >= op.retryAt {
			c.send(op)
		}
	}
	if c.stopped || pending >= 4 || len(c.ops) >= c.maxOps {
		return
	}
	op := &clientOp{id: fmt.Sprint("op", len(c.ops)), begin: c.nextTime(), pending: true}
	op.input.key = fmt.Sprint("k", w.rnd.IntN(3))
	switch w.rnd.IntN(3) {
	case 1:
		op.input.write, op.input.value = true, op.id
	case 2:
		op.input.write, op.input.cas, op.input.value = true, true, op.id
		op.input.base = c.guessValue(op.input.key)
	}
	c.ops = append(c.ops, op)
	c.send(op)
}

// guessValue returns the last value known for a key, so that some
// compare-and-sets succeed.
func (c *simClients) guessValue(key string) string {
	for _, op := range slices.Backward(c.ops) {
		if op.input.key == key && !op.pending && !op.output.refused {
			if op.input.write {
				return op.input.value
			}
			return op.output.value
		}
	}
	return ""
}

// send sends an operation to a random host and schedules its retry.
func (c *simClients) send(op *clientOp) {
	w := c.world
	op.retryAt = w.now + 20 + w.rnd.IntN(60)
	op.attempts++
	if op.attempts > 12 {
		op.pending, op.output.unknown = false, true
		return
	}
	h := w.hosts[w.rnd.IntN(len(w.hosts))]
	if h.replica == nil || h.frozenUntil > w.now {
		return
	}
	leader := w.byID(h.replica.core.LeaderID())
	if leader == nil || leader.replica == nil || leader.frozenUntil > w.now || !w.reachable(h, leader) {
		return
	}
	if op.input.write {
		leader.replica.propose(proposal{cmd: op.command(), done: func(res control.Result, err error) { c.handleProposeResult(op, h, res, err) }})
		return
	}
	bootCount := h.bootCount
	leader.replica.read(func(index uint64, err error) {
		if err != nil || h.replica == nil || h.bootCount != bootCount {
			return
		}
		h.replica.whenApplied(index, func() { c.complete(op, opOutput{value: string(h.machine.State.Values[op.input.key])}) })
	})
}

func (op *clientOp) command() control.Command {
	e := &control.Edit{File: op.input.key, Content: []byte(op.input.value)}
	if op.input.cas {
		e.Author, e.Base = casAuthor, manifest.Sum([]byte(op.input.base))
	}
	return control.Command{ID: op.id, Edit: e}
}

func (c *simClients) handleProposeResult(op *clientOp, _ *simHost, res control.Result, err error) {
	if err != nil {
		return
	}
	c.complete(op, opOutput{refused: res.Code != 0})
}

func (c *simClients) complete(op *clientOp, out opOutput) {
	if op.pending {
		op.pending, op.acknowledged, op.output, op.end = false, true, out, c.nextTime()
	}
}

// checkHistory checks that the history is linearizable, and that every
// acknowledged write was applied by every replica.
func (c *simClients) checkHistory() {
	w := c.world
	for _, op := range c.ops {
		if op.input.write && op.acknowledged {
			for _, h := range w.hosts {
				if _, ok := h.machine.State.Results[op.id]; !ok {
					w.fail("%s was acknowledged but is missing on %s", op.id, h.name)
				}
			}
		}
	}
	var history []porcupine.Operation
	for i, op := range c.ops {
		end := op.end
		if !op.acknowledged {
			if !op.input.write {
				continue
			}
			end, op.output = math.MaxInt64, opOutput{unknown: true}
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: op.input, Output: op.output, Call: op.begin, Return: end})
	}
	if res := porcupine.CheckOperationsTimeout(registerModel, history, 20*time.Second); res != porcupine.Ok {
		w.fail("history of %d operations: %v", len(history), res)
	}
}

// registerModel models registers with compare-and-set. An operation with
// unknown outcome may take effect at any time after its call. Its return time
// is the maximum, so the checker may place it after all others, as if it never
// took effect.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		var keys []string
		for _, o := range history {
			key := o.Input.(opInput).key
			if byKey[key] == nil {
				keys = append(keys, key)
			}
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, key := range keys {
			parts = append(parts, byKey[key])
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(string), in.(opInput), out.(opOutput)
		switch {
		case !i.write:
			return o.value == s, s
		case !i.cas:
			return true, i.value
		case s == i.base:
			return o.unknown || !o.refused, i.value
		default:
			return o.unknown || o.refused, s
		}
	},
}

func forEachSeed(t *testing.T, run func(t *testing.T, seed uint64)) {
	t.Helper()
	if *simSeed != 0 {
		run(t, *simSeed)
		return
	}
	for seed := uint64(1); seed <= uint64(*simSeeds) && !t.Failed(); seed++ {
		run(t, seed)
	}
}

// The faults are crashes within disk operations, frozen processes, two-way and
// one-way partitions, kills and lost disks. Throughout, messages are lost,
// delayed, duplicated and reordered.
func TestHistoryIsLinearizableUnderFaults(t *testing.T) {
	checkHistories(t, 0, func(seed uint64) (voters, spare int) { return 3 + 2*int(seed%2), int(seed%3) / 2 })
}

// With an even number of voters half of them is a quorum once one is known to be lost.
func TestHistoryOfAnEvenNumberOfVotersIsLinearizableUnderFaults(t *testing.T) {
	checkHistories(t, 0, func(seed uint64) (voters, spare int) { return 4 + 2*int(seed%2), 0 })
}

// With more voters than the fault tolerance needs, changes are held while two of them are silent.
func TestHistoryOfHeldChangesIsLinearizableUnderFaults(t *testing.T) {
	checkHistories(t, 2, func(uint64) (voters, spare int) { return 7, 0 })
}

func checkHistories(t *testing.T, faultTolerance int, size func(seed uint64) (voters, spare int)) {
	t.Helper()
	acknowledged := 0
	forEachSeed(t, func(t *testing.T, seed uint64) {
		voters, spare := size(seed)
		w := newSimWorld(t, seed, voters, spare)
		w.setFaultTolerance(faultTolerance)
		for range 900 {
			w.step()
			if w.rnd.IntN(25) == 0 {
				w.injectFault(6)
			}
			if w.failed {
				return
			}
		}
		w.healAndConverge(1500)
		if w.failed {
			return
		}
		w.clients.checkHistory()
		for _, op := range w.clients.ops {
			if op.acknowledged {
				acknowledged++
			}
		}
	})
	t.Logf("%d operations were acknowledged", acknowledged)
	if *simSeed == 0 && acknowledged < 40**simSeeds {
		t.Errorf("only %d operations were acknowledged, too few for a meaningful test", acknowledged)
	}
}

// compareAndSetCode returns the result code of an edit: EditConflict if it is a
// compare-and-set whose base differs from the current content, else 0.
func compareAndSetCode(current string, e *control.Edit) int {
	if e.Author == casAuthor && e.Base != manifest.Sum([]byte(current)) {
		return int(result.EditConflict)
	}
	return 0
}

var _ = raft.Leader
