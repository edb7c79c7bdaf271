// Package state is the replicated state machine: accepted configuration files
// and their revision, manifests of versions, orders and their fences, the
// records of non-repeatable calls, and the history of all changes.
//
// Apply is deterministic: equal logs produce byte-identical snapshots. It uses
// no clock, random numbers or files, and no Go map iteration whose order could
// affect the result. Apply, Snapshot and Restore are called by one goroutine;
// all other methods are safe for concurrent use. One lock, mu, guards all
// tables; the configuration in force is an atomic pointer, so reading it takes
// no lock.
package state

import (
	"sync"
	"sync/atomic"

	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// File is an accepted configuration file.
type File struct {
	Name    string
	Content []byte
	Digest  manifest.Digest
	// Revision is the revision that gave the file this content.
	Revision uint64
}

// Options bounds the machine's tables. All replicas must run with equal options,
// because the bounds affect the content of snapshots.
type Options struct {
	// MaxCalls bounds the records of non-repeatable calls.
	MaxCalls int
	// MaxDroppedKeys bounds the fingerprints of keys whose records were dropped.
	MaxDroppedKeys int
	// MaxAcceptedChanges bounds the accepted changes in the history.
	MaxAcceptedChanges int
	// MaxRejectedChanges bounds the rejected changes in the history.
	MaxRejectedChanges int
	// MaxPlacedOrders bounds the order history, which includes replaced orders.
	MaxPlacedOrders int
	// MaxCachedResults bounds the cached results of commands.
	MaxCachedResults int
}

// Defaults of Options.
const (
	DefaultMaxCalls           = 100_000
	DefaultMaxDroppedKeys     = 1_000_000
	DefaultMaxAcceptedChanges = 8192
	DefaultMaxRejectedChanges = 2048
	DefaultMaxPlacedOrders    = 8192
	DefaultMaxCachedResults   = 8192
)

func (o Options) withDefaults() Options {
	set := func(v *int, fallback int) {
		if *v <= 0 {
			*v = fallback
		}
	}
	set(&o.MaxCalls, DefaultMaxCalls)
	set(&o.MaxDroppedKeys, DefaultMaxDroppedKeys)
	set(&o.MaxAcceptedChanges, DefaultMaxAcceptedChanges)
	set(&o.MaxRejectedChanges, DefaultMaxRejectedChanges)
	set(&o.MaxPlacedOrders, DefaultMaxPlacedOrders)
	set(&o.MaxCachedResults, DefaultMaxCachedResults)
	return o
}

// activeConfig is the configuration in force and its revision.
type activeConfig struct {
	config   *config.Config
	revision uint64
}

// Machine is the state machine of one replica.
type Machine struct {
	opts   Options
	active atomic.Pointer[activeConfig]
	// merger is used only by Apply and Restore.
	merger config.Merger

	mu    sync.RWMutex
	index uint64
	term  uint64
	// proposedAt is the proposer's time of the command being applied.
	proposedAt   int64
	files        map[string]File
	removed      map[string]uint64
	manifests    map[string]*registration
	orders       map[string]control.Order
	placedOrders []PlacedOrder
	calls        *callTable
	history      *history
	results      *resultCache
	clock        *replicatedClock
	changed      chan struct{}
}

// New returns a machine with an empty configuration at revision 0.
func New(opts Options) *Machine {
	m := &Machine{opts: opts.withDefaults(), changed: make(chan struct{})}
	m.reset()
	merged, _ := config.Merge(nil)
	m.active.Store(&activeConfig{config: merged.Config})
	return m
}

func (m *Machine) reset() {
	m.index, m.term = 0, 0
	m.files = make(map[string]File)
	m.removed = make(map[string]uint64)
	m.manifests = make(map[string]*registration)
	m.orders = make(map[string]control.Order)
	m.placedOrders = nil
	m.calls = newCallTable(m.opts)
	m.history = newHistory(m.opts)
	m.results = newResultCache(m.opts.MaxCachedResults)
	m.clock = newReplicatedClock()
}

// Apply applies one committed command and returns its result. A command whose
// index is not above the last applied index has no effect.
func (m *Machine) Apply(index, term uint64, cmd control.Command) control.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	if index <= m.index {
		return rejection(result.BadCommand, "the entry was already applied")
	}
	m.index, m.term, m.proposedAt = index, term, cmd.Time
	m.clock.advance(cmd.VM, cmd.Time, index)
	m.calls.expire(m.clock.now, m.retention())
	res := m.dispatch(cmd)
	if res.Index == 0 {
		res.Index, res.Term = index, term
	}
	m.notifyChange()
	return res
}

// dispatch applies a command, or returns the cached result of a retry. Call
// records identify the command that made them, so commands for calls are not
// put in the result cache.
func (m *Machine) dispatch(cmd control.Command) control.Result {
	switch {
	case cmd.Reserve != nil:
		return m.applyReserve(cmd)
	case cmd.Outcome != nil:
		return m.applyOutcome(cmd)
	}
	if res, ok := m.results.get(cmd.ID); ok {
		return res
	}
	var res control.Result
	switch {
	case cmd.Edit != nil:
		res = m.applyEdit(cmd)
	case cmd.Register != nil:
		res = m.applyRegister(cmd)
	case cmd.Order != nil:
		res = m.applyOrder(cmd)
	default:
		return rejection(result.BadCommand, "the command is empty")
	}
	if res.Index == 0 {
		res.Index, res.Term = m.index, m.term
	}
	m.results.put(cmd.ID, res)
	return res
}

func (m *Machine) notifyChange() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func rejection(code result.Code, detail string) control.Result {
	return control.Result{Code: int(code), Detail: truncateDetail(detail)}
}

// maxDetail bounds the detail text of a rejection, in bytes.
const maxDetail = 2048

func truncateDetail(s string) string {
	if len(s) <= maxDetail {
		return s
	}
	return truncate(s, maxDetail) + "..."
}
