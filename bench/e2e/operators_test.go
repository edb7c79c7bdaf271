package e2e

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

const (
	sharedFile       = "20-shared.yaml"
	editsPerOperator = 8
)

// edit is what an operator did to the shared file: save content upon base, or
// read it.
type edit struct {
	base    string
	content string
	read    bool
}

// verdict is what the status file told, or the content that a read gave.
type verdict struct {
	accepted bool
	content  string
}

// sharedModel is a register that is changed by compare-and-set.
var sharedModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(edit), output.(verdict)
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

// operator edits the shared file in the folder of one entry.
type operator struct {
	*site
	client int
	folder string
}

// save replaces the file and returns what it held. The old file is taken out
// first and the new one takes the free name, so that what was replaced is
// known whatever the entry does meanwhile.
func (o *operator) save(content string) (base string, ok bool) {
	path := filepath.Join(o.folder, sharedFile)
	old, fresh := filepath.Join(o.folder, ".op-old"), filepath.Join(o.folder, ".op-new")
	// The last file that was saved is a link to the same inode as fresh.
	_, _ = os.Remove(fresh), os.Remove(old)
	o.must(os.WriteFile(fresh, []byte(content), 0o600))
	for o.ctx.Err() == nil {
		err := os.Rename(path, old)
		if errors.Is(err, fs.ErrNotExist) {
			sleep(o.ctx, time.Millisecond)
			continue
		}
		o.must(err)
		held, err := os.ReadFile(old)
		o.must(err)
		if err := os.Link(fresh, path); err == nil {
			return string(held), true
		}
	}
	return "", false
}

// await reads the status file until it tells the verdict on content.
func (o *operator) await(content string) (verdict, bool) {
	digest := "digest: " + manifest.Sum([]byte(content)).String()
	for o.ctx.Err() == nil {
		status, _ := os.ReadFile(o.folder + ".status.yaml")
		_, changes, _ := strings.Cut(string(status), "\nchanges:")
		for _, change := range strings.Split(changes, "- file: ") {
			if !strings.Contains(change, digest) || strings.Contains(change, "verdict: not-decided") {
				continue
			}
			return verdict{accepted: strings.Contains(change, "verdict: accepted")}, true
		}
		sleep(o.ctx, 10*time.Millisecond)
	}
	return verdict{}, false
}

// run edits the file several times and returns the history.
func (o *operator) run() []porcupine.Operation {
	var history []porcupine.Operation
	for i := range editsPerOperator {
		content := fmt.Sprintf("priorities: {p%d-%d: 1}\n", o.client, i)
		op := porcupine.Operation{ClientId: o.client, Call: time.Now().UnixNano()}
		base, ok := o.save(content)
		if !ok {
			o.t.Errorf("operator %d could not save", o.client)
			return history
		}
		out, ok := o.await(content)
		if !ok {
			o.t.Errorf("operator %d got no verdict on %q", o.client, content)
			return history
		}
		op.Input, op.Output, op.Return = edit{base: base, content: content}, out, time.Now().UnixNano()
		history = append(history, op)
	}
	return history
}

// TestOperatorsRaceUnderKillsAndFreezes has an operator at each entry edit one
// file while entries and the leader are killed with SIGKILL or frozen.
func TestOperatorsRaceUnderKillsAndFreezes(t *testing.T) {
	s := newSite(t, 0)
	first := "priorities: {first: 1}\n"
	s.must(s.WriteFile("entry-1", sharedFile, []byte(first)))
	var operators []*operator
	for i, entry := range s.Entries() {
		o := &operator{site: s, client: i, folder: s.Folder(entry.Name)}
		s.awaitContent(o, first)
		operators = append(operators, o)
	}
	history := []porcupine.Operation{{ClientId: 9, Call: 0, Return: 1, Input: edit{content: first}, Output: verdict{accepted: true}}}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, o := range operators {
		group.Go(func() {
			ops := o.run()
			mu.Lock()
			defer mu.Unlock()
			history = append(history, ops...)
		})
	}
	s.killAndFreeze(6)
	group.Wait()
	s.must(s.AwaitReady(s.ctx, s.Entries()...))
	last := s.awaitEqual(operators)
	history = append(history, porcupine.Operation{
		ClientId: 9, Call: time.Now().UnixNano(), Return: time.Now().UnixNano(), Input: edit{read: true}, Output: verdict{content: last},
	})
	if got := porcupine.CheckOperationsTimeout(sharedModel, history, time.Minute); got != porcupine.Ok {
		t.Errorf("history is %s", got)
		for _, op := range history {
			t.Logf("%d..%d operator %d: %+v -> %+v", op.Call, op.Return, op.ClientId, op.Input, op.Output)
		}
	}
}

// killAndFreeze kills or freezes one entry after the other, the leader too.
func (s *site) killAndFreeze(times int) {
	for range times {
		s.pause(300*time.Millisecond, 900*time.Millisecond)
		p := s.Entries()[s.rnd.IntN(3)]
		if leader, err := s.Leader(s.ctx); err == nil && s.rnd.IntN(2) == 0 {
			p = leader
		}
		if s.rnd.IntN(2) == 0 {
			s.killAndRestart(p)
			continue
		}
		s.must(p.Freeze())
		s.pause(1500*time.Millisecond, 2500*time.Millisecond)
		s.must(p.Resume())
	}
}

func (s *site) awaitContent(o *operator, content string) {
	for s.ctx.Err() == nil {
		if held, _ := os.ReadFile(filepath.Join(o.folder, sharedFile)); string(held) == content {
			return
		}
		sleep(s.ctx, 10*time.Millisecond)
	}
	s.t.Fatalf("%s never held %q", o.folder, content)
}

// awaitEqual waits until all folders hold the same content and returns it.
func (s *site) awaitEqual(operators []*operator) string {
	for s.ctx.Err() == nil {
		held := map[string]bool{}
		for _, o := range operators {
			content, _ := os.ReadFile(filepath.Join(o.folder, sharedFile))
			held[string(content)] = true
		}
		if len(held) == 1 && !held[""] {
			for content := range held {
				return content
			}
		}
		sleep(s.ctx, 10*time.Millisecond)
	}
	s.t.Error("the folders never became equal")
	return ""
}
