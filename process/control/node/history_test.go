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
	simSeeds = flag.Int("sim.seeds", 60, "how many seeds to run")
)

// casMark in an edit's author makes it a compare-and-set on its base.
const casMark = "cas"

// input is what a client asked of one key.
type input struct {
	key   string
	write bool
	cas   bool
	base  string
	value string
}

// output is what it was told.
type output struct {
	value   string
	refused bool
	unknown bool
}

// call is a client's operation.
type call struct {
	id    string
	in    input
	out   output
	begin int64
	end   int64
	acked bool
	// attempts counts the replicas that it was sent to.
	attempts int
	due      int
	open     bool
}

// clients send operations through all hosts and record what they are told.
type clients struct {
	w       *world
	moment  int64
	calls   []*call
	stopped bool
	limit   int
}

func newClients(w *world) *clients { return &clients{w: w, limit: 160} }

func (c *clients) time() int64 {
	c.moment++
	return c.moment
}

// act starts new operations and sends unanswered ones again.
func (c *clients) act() {
	w := c.w
	open := 0
	for _, o := range c.calls {
		if !o.open {
			continue
		}
		open++
		if w.now >= o.due {
			c.send(o)
		}
	}
	if c.stopped || open >= 4 || len(c.calls) >= c.limit {
		return
	}
	o := &call{id: fmt.Sprint("op", len(c.calls)), begin: c.time(), open: true}
	o.in.key = fmt.Sprint("k", w.rnd.IntN(3))
	switch w.rnd.IntN(3) {
	case 1:
		o.in.write, o.in.value = true, o.id
	case 2:
		o.in.write, o.in.cas, o.in.value = true, true, o.id
		o.in.base = c.lastSeen(o.in.key)
	}
	c.calls = append(c.calls, o)
	c.send(o)
}

// lastSeen guesses the value of a key, so that some compare-and-sets succeed.
func (c *clients) lastSeen(key string) string {
	for _, o := range slices.Backward(c.calls) {
		if o.in.key == key && !o.open && !o.out.refused {
			if o.in.write {
				return o.in.value
			}
			return o.out.value
		}
	}
	return ""
}

// send passes an operation to a random host, and again later if no answer came.
func (c *clients) send(o *call) {
	w := c.w
	o.due = w.now + 20 + w.rnd.IntN(60)
	o.attempts++
	if o.attempts > 12 {
		o.open, o.out.unknown = false, true
		return
	}
	h := w.hosts[w.rnd.IntN(len(w.hosts))]
	if h.r == nil || h.frozen > w.now {
		return
	}
	leader := w.byID(h.r.core.LeaderID())
	if leader == nil || leader.r == nil || leader.frozen > w.now || !w.reachable(h, leader) {
		return
	}
	if o.in.write {
		leader.r.propose(proposal{cmd: o.command(), done: func(res control.Result, err error) { c.answer(o, h, res, err) }})
		return
	}
	at := h.incar
	leader.r.read(func(index uint64, err error) {
		if err != nil || h.r == nil || h.incar != at {
			return
		}
		h.r.whenApplied(index, func() { c.close(o, output{value: string(h.sm.State.Values[o.in.key])}) })
	})
}

func (o *call) command() control.Command {
	e := &control.Edit{File: o.in.key, Content: []byte(o.in.value)}
	if o.in.cas {
		e.Author, e.Base = casMark, manifest.Sum([]byte(o.in.base))
	}
	return control.Command{ID: o.id, Edit: e}
}

func (c *clients) answer(o *call, _ *host, res control.Result, err error) {
	if err != nil {
		return
	}
	c.close(o, output{refused: res.Code != 0})
}

func (c *clients) close(o *call, out output) {
	if o.open {
		o.open, o.acked, o.out, o.end = false, true, out, c.time()
	}
}

// verify judges the history: it must be linearizable, and what was accepted
// must be in every replica's state.
func (c *clients) verify() {
	w := c.w
	for _, o := range c.calls {
		if o.in.write && o.acked {
			for _, h := range w.hosts {
				if _, ok := h.sm.State.Results[o.id]; !ok {
					w.fail("%s was acknowledged and is missing on %s", o.id, h.name)
				}
			}
		}
	}
	var history []porcupine.Operation
	for i, o := range c.calls {
		end := o.end
		if !o.acked {
			if !o.in.write {
				continue
			}
			end, o.out = math.MaxInt64, output{unknown: true}
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: o.in, Output: o.out, Call: o.begin, Return: end})
	}
	if res := porcupine.CheckOperationsTimeout(registerModel, history, 20*time.Second); res != porcupine.Ok {
		w.fail("history of %d operations: %v", len(history), res)
	}
}

// registerModel is a set of registers with compare-and-set. An operation of
// unknown outcome may take effect at any time after its call, or at the end of
// time, which is the same as never.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		var keys []string
		for _, o := range history {
			key := o.Input.(input).key
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
		s, i, o := state.(string), in.(input), out.(output)
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

func eachSeed(t *testing.T, run func(t *testing.T, seed uint64)) {
	t.Helper()
	if *simSeed != 0 {
		run(t, *simSeed)
		return
	}
	for seed := uint64(1); seed <= uint64(*simSeeds) && !t.Failed(); seed++ {
		run(t, seed)
	}
}

// Crashes within disk operations, freezes, cuts of both kinds, kills and lost
// disks, with loss, delay, repetition and reordering throughout.
func TestHistoryIsLinearizableUnderFaults(t *testing.T) {
	answered := 0
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, 3+2*int(seed%2), int(seed%3)/2)
		for range 900 {
			w.step()
			if w.rnd.IntN(25) == 0 {
				w.fault(6)
			}
			if w.broken {
				return
			}
		}
		w.heal(1500)
		if w.broken {
			return
		}
		w.clients.verify()
		for _, o := range w.clients.calls {
			if o.acked {
				answered++
			}
		}
	})
	t.Logf("%d operations were answered", answered)
	if *simSeed == 0 && answered < 40**simSeeds {
		t.Errorf("only %d operations were answered: the test proves little", answered)
	}
}

// resultOf is what a compare-and-set yields.
func resultOf(current string, e *control.Edit) int {
	if e.Author == casMark && e.Base != manifest.Sum([]byte(current)) {
		return int(result.EditConflict)
	}
	return 0
}

var _ = raft.Leader
