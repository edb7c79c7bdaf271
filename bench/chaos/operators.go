package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/bench/cluster"
)

const (
	editPause    = 700 * time.Millisecond
	verdictAwait = 40 * time.Second
	watchPause   = 50 * time.Millisecond
)

// edits adds one file after the other to the folders, each with an account of
// its own, and rolls versions forth and back.
type edits struct {
	site *site

	// accepted holds the accounts of files that an entry called accepted.
	accepted []string
	made     int
}

func newEdits(s *site) *edits { return &edits{site: s} }

func (e *edits) run(ctx context.Context, rnd *rand.Rand) {
	names := []string{"entry-1", "entry-2", "entry-3"}
	for n := 0; ctx.Err() == nil; n++ {
		entry := names[rnd.IntN(len(names))]
		name := fmt.Sprintf("account-%d", n)
		file := fmt.Sprintf("50-%s.yaml", name)
		e.made++
		if err := e.site.cluster.WriteFile(entry, file, []byte("accounts: {"+name+": {share: 2}}\n")); err != nil {
			continue
		}
		if n%8 == 4 {
			e.roll(entry, n)
		}
		if e.awaitAccepted(ctx, entry, file) {
			e.accepted = append(e.accepted, name)
		}
		pause(ctx, time.Duration(rnd.Int64N(int64(editPause))))
	}
}

func (e *edits) roll(entry string, n int) {
	serving := version
	if n%16 == 4 {
		serving = nextVersion
	}
	_ = e.site.cluster.WriteFile(entry, baseFile, e.site.base(serving))
}

// awaitAccepted reads the status file beside the folder, as an operator would.
func (e *edits) awaitAccepted(ctx context.Context, entry, file string) bool {
	status := filepath.Clean(e.site.cluster.Folder(entry)) + ".status.yaml"
	end := time.Now().Add(verdictAwait)
	for time.Now().Before(end) && ctx.Err() == nil {
		data, err := os.ReadFile(status)
		if err == nil && strings.Contains(string(data), "- file: "+file+"\n  accepted_at_revision:") {
			return true
		}
		pause(ctx, watchPause)
	}
	return false
}

// judge checks that every accepted edit is in force on every entry.
func (e *edits) judge(ctx context.Context, report *Report) error {
	report.Edits = len(e.accepted)
	for _, p := range e.site.cluster.Entries() {
		held, err := e.files(ctx, p)
		if err != nil {
			return err
		}
		for _, name := range e.accepted {
			if !held["50-"+name+".yaml"] {
				report.EditsLost++
				report.Notes = append(report.Notes, fmt.Sprintf("%s lacks the accepted file of %s", p.Name, name))
			}
		}
	}
	return nil
}

func (e *edits) files(ctx context.Context, p *cluster.Process) (map[string]bool, error) {
	var dump struct {
		State struct {
			Files []struct {
				Name string `json:"name"`
			} `json:"files"`
		} `json:"state"`
	}
	if err := e.site.cluster.State(ctx, p, &dump); err != nil {
		return nil, errors.Wrap(err, p.Name)
	}
	held := make(map[string]bool)
	for _, f := range dump.State.Files {
		held[f.Name] = true
	}
	return held, nil
}

// watch reads the revision in force on every entry and agent: it never falls,
// not over a restart either. A process that reports 0 has nothing in force.
type watch struct {
	site *site

	mu      sync.Mutex
	highest map[string]uint64
	reverts []string
}

func newWatch(s *site) *watch { return &watch{site: s, highest: make(map[string]uint64)} }

func (w *watch) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, p := range w.site.cluster.Entries() {
			if revision, err := w.site.cluster.Revision(ctx, p); err == nil && w.site.cluster.Ready(ctx, p) == nil {
				w.note(p.Name, revision)
			}
		}
		for _, p := range w.site.agents {
			if status, err := w.site.cluster.AgentStatus(ctx, p); err == nil {
				w.note(p.Name, status.Revision)
			}
		}
		pause(ctx, watchPause)
	}
}

func (w *watch) note(process string, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision != 0 && revision < w.highest[process] {
		w.reverts = append(w.reverts, fmt.Sprintf("%s went from revision %d to %d", process, w.highest[process], revision))
	}
	w.highest[process] = max(w.highest[process], revision)
}

func (w *watch) judge(report *Report) {
	report.Reverts = len(w.reverts)
	report.Notes = append(report.Notes, w.reverts...)
}
