// Package folder watches the folder of configuration files on one VM. It
// proposes what operators change there as edits, tells their verdicts in a
// status file beside the folder, and writes the accepted files back.
//
// A file counts as changed when its content differs from the accepted content
// that this VM last saw or placed there, which it remembers on disk. So a
// folder that is merely behind is never read as a change, and neither is one
// that is empty, missing or not the one that this VM wrote.
//
// All work is done by the goroutine of Run. One lock, mu, guards what Dump
// and Status read; no other lock is taken under it.
package folder

import (
	"context"
	"log/slog"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/fsnotify/fsnotify"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/state"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// Defaults of Config.
const (
	DefaultSettle         = 500 * time.Millisecond
	DefaultScanEvery      = 5 * time.Second
	DefaultRetryEvery     = time.Second
	DefaultProposeTimeout = 5 * time.Second
	DefaultRestoreAfter   = 10 * time.Second
)

// Config holds a watcher's settings. Zero durations take the defaults.
type Config struct {
	// Path is the folder.
	Path string
	// DataDir is where the VM remembers what it wrote; empty for none.
	DataDir string
	// VM is the entry VM's name.
	VM string
	// Settle is how long a file must stay as it is before it is proposed.
	Settle time.Duration
	// ScanEvery is the time between looks at the folder without an event.
	ScanEvery time.Duration
	// RetryEvery is the time between sendings of an edit without a verdict.
	RetryEvery time.Duration
	// ProposeTimeout bounds one sending.
	ProposeTimeout time.Duration
	// RestoreAfter is how long a folder must be empty or foreign before the
	// accepted files are placed there again.
	RestoreAfter time.Duration
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, fallback time.Duration) {
		if *d <= 0 {
			*d = fallback
		}
	}
	set(&c.Settle, DefaultSettle)
	set(&c.ScanEvery, DefaultScanEvery)
	set(&c.RetryEvery, DefaultRetryEvery)
	set(&c.ProposeTimeout, DefaultProposeTimeout)
	set(&c.RestoreAfter, DefaultRestoreAfter)
	c.Path = strings.TrimRight(filepath.Clean(c.Path), "/")
	return c
}

// Watcher keeps one folder and the control state in step.
type Watcher struct {
	cfg     Config
	store   control.Store
	machine *state.Machine
	clock   clockwork.Clock
	log     *slog.Logger
	scope   tally.Scope

	memory *memory
	// fresh is set while this VM has no memory of the folder.
	fresh      bool
	started    bool
	settling   map[string]settling
	suspicious time.Time
	next       time.Duration
	statusText string

	mu     sync.Mutex
	status Status
}

// New returns a watcher; Run starts it.
func New(cfg Config, store control.Store, machine *state.Machine, clock clockwork.Clock, log *slog.Logger, scope tally.Scope) *Watcher {
	cfg = cfg.withDefaults()
	w := &Watcher{
		cfg: cfg, store: store, machine: machine, clock: clock, log: log, scope: scope.SubScope("folder"),
		settling: make(map[string]settling),
	}
	known := false
	w.memory, known = loadMemory(cfg.DataDir)
	w.fresh = !known
	return w
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	events, closeEvents := w.watch()
	defer closeEvents()
	seen := ^uint64(0)
	dirty := true
	var timer clockwork.Timer
	for {
		changed := w.machine.Changed()
		if _, revision := w.machine.Config(); dirty || revision != seen {
			seen = revision
			if timer != nil {
				timer.Stop()
			}
			timer = w.clock.NewTimer(w.Step(ctx))
			dirty = false
		}
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-changed:
		case <-events:
			dirty = true
		case <-timer.Chan():
			dirty = true
		}
	}
}

// watch returns a channel of file events; it stays silent where the platform
// gives none, and the slow scan finds the changes. fsnotify merges nothing, so
// events are collapsed into one pending signal.
func (w *Watcher) watch() (<-chan struct{}, func()) {
	signal := make(chan struct{}, 1)
	notifier, err := fsnotify.NewWatcher()
	if err != nil {
		w.log.Warn("no file events", "event", "folder-events-off", "error", err.Error())
		return signal, func() {}
	}
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		w.forward(notifier, signal, stop)
	}()
	return signal, func() {
		close(stop)
		done.Wait()
		_ = notifier.Close()
	}
}

// forward passes events on and renews the watch, because a folder that is
// mounted or created later has another inode.
func (w *Watcher) forward(notifier *fsnotify.Watcher, signal chan<- struct{}, stop <-chan struct{}) {
	ticker := w.clock.NewTicker(w.cfg.ScanEvery)
	defer ticker.Stop()
	_ = notifier.Add(w.cfg.Path)
	for {
		select {
		case <-stop:
			return
		case <-ticker.Chan():
			_ = notifier.Add(w.cfg.Path)
			continue
		case err := <-notifier.Errors:
			w.log.Debug("file events failed", "event", "folder-events", "error", err.Error())
			continue
		case e := <-notifier.Events:
			if strings.HasPrefix(filepath.Base(e.Name), markerName) {
				continue
			}
		}
		select {
		case signal <- struct{}{}:
		default:
		}
	}
}

// wake asks for a step after d at the latest.
func (w *Watcher) wake(d time.Duration) {
	w.next = min(w.next, d)
}

// Step looks at the folder once, proposes what has changed, writes back what
// was accepted, and returns when it wants to be called again at the latest.
func (w *Watcher) Step(ctx context.Context) time.Duration {
	defer w.scope.Timer("step").Start().Stop()
	w.next = w.cfg.ScanEvery
	ready := w.ready(ctx)
	files, revision := w.machine.Accepted()
	if !ready {
		w.wake(w.cfg.RetryEvery)
		w.publish(look(w.cfg.Path), files, revision, w.undecidedFolder())
		return w.next
	}
	s := look(w.cfg.Path)
	if problem := w.suspect(s); problem != nil {
		w.scope.Counter("suspicious").Inc(1)
		w.restore(s, files, revision)
		w.publish(s, files, revision, problem)
		return w.next
	}
	w.suspicious = time.Time{}
	w.absorb(s, accepted(files))
	w.propose(ctx, s, accepted(files))
	files, revision = w.machine.Accepted()
	if revision >= w.memory.Known {
		w.writeBack(s, accepted(files), revision)
	} else {
		w.wake(w.cfg.RetryEvery)
	}
	w.publish(s, files, revision, nil)
	return w.next
}

// ready reports whether the local state may be compared with the folder: it
// must not be behind what this VM has known before, and a VM without memory
// must first hear from a quorum.
func (w *Watcher) ready(ctx context.Context) bool {
	if w.fresh {
		ctx, cancel := context.WithTimeout(ctx, w.cfg.ProposeTimeout)
		defer cancel()
		if err := w.store.Barrier(ctx); err != nil {
			return false
		}
		return w.adopt()
	}
	if !w.started {
		w.started = true
		w.recover()
	}
	_, revision := w.machine.Config()
	return revision >= w.memory.Known
}

// adopt marks a folder that this VM has no memory of as its own. What stands
// in it counts as made upon the first revision, so it can add files but never
// replace or bring back one.
func (w *Watcher) adopt() bool {
	if s := look(w.cfg.Path); s.whole != nil {
		return true
	}
	w.memory.Folder = uuid.New().String()
	if !w.writeMarker(0) || !w.save() {
		return false
	}
	w.fresh, w.started = false, true
	return true
}

func (w *Watcher) undecidedFolder() *result.Error {
	return result.New(result.NotDecided, "this VM has not caught up with the control state")
}

// suspect returns why the folder must not be read as an edit, or nil.
func (w *Watcher) suspect(s *scan) *result.Error {
	switch {
	case s.whole != nil:
		return s.whole
	case s.marker.folder != w.memory.Folder:
		return result.New(result.FolderSuspicious, "%s lacks the marker of this VM; is it mounted?", w.cfg.Path)
	case s.marker.revision < w.memory.Revision:
		return result.New(result.FolderSuspicious, "%s is a copy from revision %d, older than revision %d",
			w.cfg.Path, s.marker.revision, w.memory.Revision)
	case s.empty() && len(w.memory.Files) > 0:
		return result.New(result.FolderSuspicious, "%s is empty", w.cfg.Path)
	}
	return nil
}

func (w *Watcher) save() bool {
	defer w.scope.Timer("memory_save").Start().Stop()
	if err := w.memory.save(w.cfg.DataDir); err != nil {
		w.log.Error("the folder's memory was not written", "event", "folder-memory", "code", int(result.DiskFailed), "error", err.Error())
		return false
	}
	return true
}

// Dump returns the watcher's state for the dump of a process.
func (w *Watcher) Dump() any {
	return w.Status()
}
