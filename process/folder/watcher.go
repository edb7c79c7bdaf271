// Package folder synchronizes the folder of configuration files on one VM with
// the control state. It proposes changes that operators make there as edits,
// reports the decisions in a status file beside the folder, and writes accepted
// files back to the folder.
//
// A file counts as edited if its content differs from the accepted content that
// this VM last saw or wrote there, which is saved on disk. A folder that is only
// out of date is therefore never proposed as an edit, and neither is a folder
// that is empty, missing or not the one that this VM wrote.
//
// All work is done by the goroutine of Run. The lock mu guards the state that
// Dump and Status read; no other lock is acquired while it is held.
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

// Default values of Config.
const (
	DefaultSettleTime     = 500 * time.Millisecond
	DefaultScanInterval   = 5 * time.Second
	DefaultRetryInterval  = time.Second
	DefaultProposeTimeout = 5 * time.Second
	DefaultRestoreDelay   = 10 * time.Second
)

// Config holds a watcher's settings. Zero durations mean the defaults.
type Config struct {
	// Path is the folder to watch.
	Path string
	// DataDir is the folder of the saved state; empty to keep it in memory only.
	DataDir string
	// VM is the entry VM's name.
	VM string
	// SettleTime is how long a file must stay unchanged before it is proposed.
	SettleTime time.Duration
	// ScanInterval is the scan interval while no file events arrive.
	ScanInterval time.Duration
	// RetryInterval is the retry interval for undecided edits and failed writes.
	RetryInterval time.Duration
	// ProposeTimeout is the timeout of one proposal.
	ProposeTimeout time.Duration
	// RestoreDelay is how long a folder must be empty, lack the marker of this VM
	// or be an old copy before the accepted files are restored.
	RestoreDelay time.Duration
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, fallback time.Duration) {
		if *d <= 0 {
			*d = fallback
		}
	}
	set(&c.SettleTime, DefaultSettleTime)
	set(&c.ScanInterval, DefaultScanInterval)
	set(&c.RetryInterval, DefaultRetryInterval)
	set(&c.ProposeTimeout, DefaultProposeTimeout)
	set(&c.RestoreDelay, DefaultRestoreDelay)
	c.Path = strings.TrimRight(filepath.Clean(c.Path), "/")
	return c
}

// Watcher synchronizes one folder with the control state.
type Watcher struct {
	cfg     Config
	store   control.Store
	machine *state.Machine
	clock   clockwork.Clock
	log     *slog.Logger
	scope   tally.Scope

	saved *savedState
	// needsAdoption is set while there is no saved state of the folder.
	needsAdoption bool
	// recovered is set once an interrupted write-back has been recovered.
	recovered bool
	// observed holds the current digest of each file and since when it has been
	// unchanged.
	observed map[string]observation
	// suspiciousSince is when checkFolder first rejected the folder, or when the
	// accepted files were last restored; zero while the folder is valid.
	suspiciousSince time.Time
	// nextStep is the time until the next step; scheduleWithin shortens it.
	nextStep time.Duration
	// statusText is the content of the status file without its time of writing.
	statusText string

	mu     sync.Mutex
	status Status
}

// New returns a watcher; Run starts it.
func New(cfg Config, store control.Store, machine *state.Machine, clock clockwork.Clock, log *slog.Logger, scope tally.Scope) *Watcher {
	cfg = cfg.withDefaults()
	w := &Watcher{
		cfg: cfg, store: store, machine: machine, clock: clock, log: log, scope: scope.SubScope("folder"),
		observed: make(map[string]observation),
	}
	loaded := false
	w.saved, loaded = loadSavedState(cfg.DataDir)
	w.needsAdoption = !loaded
	return w
}

// Run watches the folder until ctx is done.
func (w *Watcher) Run(ctx context.Context) error {
	events, closeEvents := w.watchEvents()
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

// watchEvents returns a channel that signals file events and a function that
// stops them. If file events are not available, no signal is sent and the
// periodic scan finds the changes. fsnotify does not coalesce events, so they
// are reduced to one pending signal.
func (w *Watcher) watchEvents() (<-chan struct{}, func()) {
	signal := make(chan struct{}, 1)
	notifier, err := fsnotify.NewWatcher()
	if err != nil {
		w.log.Warn("file events are not available", "event", "folder-events-off", "error", err.Error())
		return signal, func() {}
	}
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		w.forwardEvents(notifier, signal, stop)
	}()
	return signal, func() {
		close(stop)
		done.Wait()
		_ = notifier.Close()
	}
}

// forwardEvents forwards file events to signal. It adds the watch again at each
// tick, because a folder that is mounted or created later has another inode.
func (w *Watcher) forwardEvents(notifier *fsnotify.Watcher, signal chan<- struct{}, stop <-chan struct{}) {
	ticker := w.clock.NewTicker(w.cfg.ScanInterval)
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
			w.log.Debug("file watch failed", "event", "folder-events", "error", err.Error())
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

// scheduleWithin requests the next step after d at the latest.
func (w *Watcher) scheduleWithin(d time.Duration) {
	w.nextStep = min(w.nextStep, d)
}

// Step scans the folder once, proposes edits, writes accepted files back and
// returns the time after which it must be called again at the latest.
func (w *Watcher) Step(ctx context.Context) time.Duration {
	defer w.scope.Timer("step").Start().Stop()
	w.nextStep = w.cfg.ScanInterval
	ready := w.readyToCompare(ctx)
	files, revision := w.machine.AcceptedFiles()
	if !ready {
		w.scheduleWithin(w.cfg.RetryInterval)
		w.publishStatus(scanFolder(w.cfg.Path), files, revision, w.notCaughtUpError())
		return w.nextStep
	}
	s := scanFolder(w.cfg.Path)
	if problem := w.checkFolder(s); problem != nil {
		w.scope.Counter("suspicious").Inc(1)
		w.restoreFolder(s, files, revision)
		w.publishStatus(s, files, revision, problem)
		return w.nextStep
	}
	w.suspiciousSince = time.Time{}
	w.reconcile(s, indexByName(files))
	w.processEdits(ctx, s, indexByName(files))
	files, revision = w.machine.AcceptedFiles()
	if revision >= w.saved.KnownRevision {
		w.writeBack(s, indexByName(files), revision)
	} else {
		w.scheduleWithin(w.cfg.RetryInterval)
	}
	w.publishStatus(s, files, revision, nil)
	return w.nextStep
}

// readyToCompare reports whether the local replica may be compared with the
// folder. The replica must have reached the highest revision that this VM has
// seen; without saved state it must first catch up with a quorum.
func (w *Watcher) readyToCompare(ctx context.Context) bool {
	if w.needsAdoption {
		ctx, cancel := context.WithTimeout(ctx, w.cfg.ProposeTimeout)
		defer cancel()
		if err := w.store.Barrier(ctx); err != nil {
			return false
		}
		return w.adoptFolder()
	}
	if !w.recovered {
		w.recovered = true
		w.recoverWriteBack()
	}
	_, revision := w.machine.Config()
	return revision >= w.saved.KnownRevision
}

// adoptFolder takes over a folder without saved state. Its files count as edits
// based on the first revision, so they can add files but never replace an
// accepted file or restore a removed one.
func (w *Watcher) adoptFolder() bool {
	if s := scanFolder(w.cfg.Path); s.folderProblem != nil {
		return true
	}
	w.saved.FolderID = uuid.New().String()
	if !w.writeMarker(0) || !w.save() {
		return false
	}
	w.needsAdoption, w.recovered = false, true
	return true
}

func (w *Watcher) notCaughtUpError() *result.Error {
	return result.New(result.NotDecided, "this VM has not caught up with the control state")
}

// checkFolder returns why differences in the folder must not be treated as
// edits, or nil.
func (w *Watcher) checkFolder(s *scan) *result.Error {
	switch {
	case s.folderProblem != nil:
		return s.folderProblem
	case s.marker.folderID != w.saved.FolderID:
		return result.New(result.FolderSuspicious, "%s does not contain the marker of this VM; is it mounted?", w.cfg.Path)
	case s.marker.revision < w.saved.Revision:
		return result.New(result.FolderSuspicious, "%s is a copy of revision %d, which is older than revision %d",
			w.cfg.Path, s.marker.revision, w.saved.Revision)
	case s.empty() && len(w.saved.Files) > 0:
		return result.New(result.FolderSuspicious, "%s is empty", w.cfg.Path)
	}
	return nil
}

func (w *Watcher) save() bool {
	defer w.scope.Timer("memory_save").Start().Stop()
	if err := w.saved.save(w.cfg.DataDir); err != nil {
		w.log.Error("failed to save folder state", "event", "folder-memory", "code", int(result.DiskFailed), "error", err.Error())
		return false
	}
	return true
}

// Dump returns the watcher's status for the state dump of the process.
func (w *Watcher) Dump() any {
	return w.Status()
}
