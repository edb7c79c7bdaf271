package folder

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

var seedCount = flag.Int("seeds", 4, "number of seeds of the concurrent edits test")

// fileEdit is an operation of an operator: saving content over the base content,
// or reading a file.
type fileEdit struct {
	file    string
	base    string
	content string
	read    bool
}

// editDecision is the result of an operation: the decision from the status file,
// or the content that was read.
type editDecision struct {
	accepted bool
	content  string
}

// fileModel is a compare-and-set register for each file.
var fileModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byFile := map[string][]porcupine.Operation{}
		for _, op := range history {
			file := op.Input.(fileEdit).file
			byFile[file] = append(byFile[file], op)
		}
		var parts [][]porcupine.Operation
		for _, name := range sortedNames(byFile) {
			parts = append(parts, byFile[name])
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(fileEdit), output.(editDecision)
		switch {
		case in.read:
			return state == out.content, state
		case out.accepted:
			return state == in.base, in.content
		default:
			return state != in.base, state
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// simulation runs VMs, operators and faults from one seed and records the
// history as the operators observe it.
type simulation struct {
	t         *testing.T
	rnd       *rand.Rand
	cluster   *cluster
	vms       []*vm
	openEdits map[string]*porcupine.Operation
	history   []porcupine.Operation
	now       int64
	edits     int
}

func (r *simulation) key(v *vm, file string) string {
	return v.name + "/" + file
}

// save edits a file as an operator unless an edit of it is still undecided.
func (r *simulation) save(client int, v *vm, file string) {
	key := r.key(v, file)
	if r.openEdits[key] != nil {
		return
	}
	r.edits++
	content := fmt.Sprintf("priorities: {p%d: %d}\n", r.edits, r.edits)
	r.openEdits[key] = &porcupine.Operation{
		ClientId: client, Call: r.now, Input: fileEdit{file: file, base: v.read(file), content: content},
	}
	v.write(file, content)
}

// collectDecisions reads the status of a VM as its operators do.
func (r *simulation) collectDecisions(v *vm) {
	for _, file := range []string{"a.yaml", "b.yaml"} {
		op := r.openEdits[r.key(v, file)]
		if op == nil {
			continue
		}
		c := v.change(file)
		in := op.Input.(fileEdit)
		if c.Digest != digestText(in.content) || c.Decision == decisionUndecided {
			continue
		}
		if c.Decision == decisionRefused && c.Code != int(result.EditConflict) {
			r.t.Errorf("%s: %s refused with %d %s", v.name, file, c.Code, c.Detail)
		}
		op.Return, op.Output = r.now, editDecision{accepted: c.Decision == decisionAccepted}
		r.history = append(r.history, *op)
		delete(r.openEdits, r.key(v, file))
	}
}

func (r *simulation) step(v *vm) {
	v.watcher.Step(context.Background())
	v.clock.Advance(300 * time.Millisecond)
	r.collectDecisions(v)
}

// randomAction performs a save, a step, a restart or a fault.
func (r *simulation) randomAction() {
	r.now++
	v := r.vms[r.rnd.IntN(len(r.vms))]
	file := []string{"a.yaml", "b.yaml"}[r.rnd.IntN(2)]
	switch n := r.rnd.IntN(20); {
	case n < 3:
		r.save(r.rnd.IntN(100), v, file)
	case n < 4:
		v.restart()
	case n < 5:
		r.cluster.loseResults = 1 + r.rnd.IntN(2)
	case n < 6:
		r.cluster.stallNext = 1
	case n < 7:
		r.cluster.applyStalled(r.rnd)
	case n < 8:
		r.cluster.lagging = map[any]bool{v.machine: true}
	case n < 9:
		r.cluster.lagging = nil
	case n < 10:
		r.cluster.down = r.rnd.IntN(3) == 0
	default:
		r.step(v)
	}
}

// healFaults ends all faults, runs every VM until it is stable and appends a
// read of each file to the history.
func (r *simulation) healFaults() {
	c := r.cluster
	c.down, c.loseResults, c.stallNext, c.lagging = false, 0, 0, nil
	c.apply()
	for len(c.stalled) > 0 {
		c.applyStalled(r.rnd)
	}
	for range 8 {
		for _, v := range r.vms {
			r.now++
			r.step(v)
			v.clock.Advance(DefaultSettleTime)
		}
	}
	for key := range r.openEdits {
		r.t.Errorf("%s was never decided", key)
	}
	for _, v := range r.vms {
		for _, file := range []string{"a.yaml", "b.yaml"} {
			r.now++
			r.history = append(r.history, porcupine.Operation{
				ClientId: 1000, Call: r.now, Return: r.now, Input: fileEdit{file: file, read: true}, Output: editDecision{content: v.read(file)},
			})
		}
	}
}

func TestConcurrentEditsAreLinearizable(t *testing.T) {
	for seed := range *seedCount {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			c := &cluster{}
			r := &simulation{t: t, rnd: rand.New(rand.NewPCG(uint64(seed), 7)), cluster: c, openEdits: map[string]*porcupine.Operation{}}
			for i := range 3 {
				r.vms = append(r.vms, newVM(t, c, fmt.Sprint("entry-", i+1)))
			}
			for range 150 {
				r.randomAction()
			}
			r.healFaults()
			if check := porcupine.CheckOperationsTimeout(fileModel, r.history, time.Minute); check != porcupine.Ok {
				t.Errorf("history is %s; repeat with: go test ./process/folder -run 'ConcurrentEditsAreLinearizable/seed=%d$' -seeds %d", check, seed, seed+1)
				for _, op := range r.history {
					t.Logf("%d..%d client %d: %+v -> %+v", op.Call, op.Return, op.ClientId, op.Input, op.Output)
				}
			}
			for _, v := range r.vms {
				if st := v.watcher.Status(); st.FolderRevision != st.Revision || st.Folder.Code != 0 {
					t.Errorf("%s did not converge: %+v", v.name, st)
				}
			}
			_, revision := r.vms[0].machine.Config()
			t.Logf("%d edits, %d commands, revision %d", r.edits, len(c.log), revision)
		})
	}
}

// applyStalled applies one stalled command after its sender has given up on it.
func (c *cluster) applyStalled(rnd *rand.Rand) {
	if len(c.stalled) == 0 {
		return
	}
	i := rnd.IntN(len(c.stalled))
	cmd := c.stalled[i]
	c.stalled = append(c.stalled[:i:i], c.stalled[i+1:]...)
	c.appendAndApply(cmd)
}

// appendAndApply appends a command to the log and returns its result.
func (c *cluster) appendAndApply(cmd control.Command) control.Result {
	c.log = append(c.log, cmd)
	res := c.primaryMachine().Apply(uint64(len(c.log)), 1, cmd)
	c.apply()
	return res
}
