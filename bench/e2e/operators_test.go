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

// edit is one operation on the shared file: replace base by content, or read the
// file.
type edit struct {
	base    string
	content string
	read    bool
}

// editResult is the result from the status file, or the content that was read.
type editResult struct {
	accepted bool
	content  string
}

// registerModel is a register that is changed by compare-and-set.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(edit), output.(editResult)
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
	*testSystem
	client int
	folder string
}

// saveFile replaces the file and returns the replaced content. It first moves the
// old file away and then links the new one to the unused name, so that the replaced
// content is known even if the entry writes the file at the same time.
func (o *operator) saveFile(content string) (base string, ok bool) {
	path := filepath.Join(o.folder, sharedFile)
	old, fresh := filepath.Join(o.folder, ".op-old"), filepath.Join(o.folder, ".op-new")
	// The file saved last is a hard link to the same inode as fresh.
	_, _ = os.Remove(fresh), os.Remove(old)
	o.must(os.WriteFile(fresh, []byte(content), 0o600))
	for o.ctx.Err() == nil {
		err := os.Rename(path, old)
		if errors.Is(err, fs.ErrNotExist) {
			sleep(o.ctx, time.Millisecond)
			continue
		}
		o.must(err)
		replaced, err := os.ReadFile(old)
		o.must(err)
		if err := os.Link(fresh, path); err == nil {
			return string(replaced), true
		}
	}
	return "", false
}

// awaitResult polls the status file until the edit to content is accepted or
// refused.
func (o *operator) awaitResult(content string) (editResult, bool) {
	digest := "digest: " + manifest.Sum([]byte(content)).String()
	for o.ctx.Err() == nil {
		status, _ := os.ReadFile(o.folder + ".status.yaml")
		_, changes, _ := strings.Cut(string(status), "\nchanges:")
		for _, change := range strings.Split(changes, "- file: ") {
			if !strings.Contains(change, digest) || strings.Contains(change, "verdict: not-decided") {
				continue
			}
			return editResult{accepted: strings.Contains(change, "verdict: accepted")}, true
		}
		sleep(o.ctx, 10*time.Millisecond)
	}
	return editResult{}, false
}

// run edits the file several times and returns the history of its operations.
func (o *operator) run() []porcupine.Operation {
	var history []porcupine.Operation
	for i := range editsPerOperator {
		content := fmt.Sprintf("priorities: {p%d-%d: 1}\n", o.client, i)
		op := porcupine.Operation{ClientId: o.client, Call: time.Now().UnixNano()}
		base, ok := o.saveFile(content)
		if !ok {
			o.t.Errorf("operator %d could not save the file", o.client)
			return history
		}
		out, ok := o.awaitResult(content)
		if !ok {
			o.t.Errorf("operator %d got no result for %q", o.client, content)
			return history
		}
		op.Input, op.Output, op.Return = edit{base: base, content: content}, out, time.Now().UnixNano()
		history = append(history, op)
	}
	return history
}

// TestConcurrentEditsUnderKillsAndFreezes lets an operator at each entry edit the
// same file while entries and the leader are killed with SIGKILL or frozen. The
// history of all operations must be linearizable.
func TestConcurrentEditsUnderKillsAndFreezes(t *testing.T) {
	s := newSystem(t, 0)
	first := "priorities: {first: 1}\n"
	s.must(s.WriteFile("entry-1", sharedFile, []byte(first)))
	var operators []*operator
	for i, entry := range s.Entries() {
		o := &operator{testSystem: s, client: i, folder: s.Folder(entry.Name)}
		s.awaitContent(o, first)
		operators = append(operators, o)
	}
	history := []porcupine.Operation{{ClientId: 9, Call: 0, Return: 1, Input: edit{content: first}, Output: editResult{accepted: true}}}
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
	last := s.awaitSameContent(operators)
	history = append(history, porcupine.Operation{
		ClientId: 9, Call: time.Now().UnixNano(), Return: time.Now().UnixNano(), Input: edit{read: true}, Output: editResult{content: last},
	})
	if got := porcupine.CheckOperationsTimeout(registerModel, history, time.Minute); got != porcupine.Ok {
		t.Errorf("linearizability check of the history: %s", got)
		for _, op := range history {
			t.Logf("%d..%d operator %d: %+v -> %+v", op.Call, op.Return, op.ClientId, op.Input, op.Output)
		}
	}
}

// killAndFreeze kills or freezes random entries, often the leader, one after the
// other.
func (s *testSystem) killAndFreeze(times int) {
	for range times {
		s.sleepRandom(300*time.Millisecond, 900*time.Millisecond)
		p := s.Entries()[s.rnd.IntN(3)]
		if leader, err := s.Leader(s.ctx); err == nil && s.rnd.IntN(2) == 0 {
			p = leader
		}
		if s.rnd.IntN(2) == 0 {
			s.killAndRestart(p)
			continue
		}
		s.must(p.Freeze())
		s.sleepRandom(1500*time.Millisecond, 2500*time.Millisecond)
		s.must(p.Resume())
	}
}

func (s *testSystem) awaitContent(o *operator, content string) {
	for s.ctx.Err() == nil {
		if got, _ := os.ReadFile(filepath.Join(o.folder, sharedFile)); string(got) == content {
			return
		}
		sleep(s.ctx, 10*time.Millisecond)
	}
	s.t.Fatalf("%s never contained %q", o.folder, content)
}

// awaitSameContent waits until the file has the same content in all folders and
// returns it.
func (s *testSystem) awaitSameContent(operators []*operator) string {
	for s.ctx.Err() == nil {
		contents := map[string]bool{}
		for _, o := range operators {
			content, _ := os.ReadFile(filepath.Join(o.folder, sharedFile))
			contents[string(content)] = true
		}
		if len(contents) == 1 && !contents[""] {
			for content := range contents {
				return content
			}
		}
		sleep(s.ctx, 10*time.Millisecond)
	}
	s.t.Error("the file never had the same content in all folders")
	return ""
}
