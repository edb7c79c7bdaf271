// Package state is the replicated state machine: accepted configuration files
// and their revision, manifests of versions, orders under fences, the records
// of calls that may not be repeated, and the history of every change.
//
// Apply is deterministic: equal logs give equal snapshots, byte for byte. It
// reads no clock, no random numbers and no files, and it walks no Go map
// where the order could show. Apply, Snapshot and Restore are called by one
// goroutine; every other method is safe for concurrent use. One lock, mu,
// guards all tables; the configuration in force is an atomic pointer, so that
// reading it takes no lock.
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

// Options bounds what the machine keeps. All replicas must run with equal
// options, because the bounds decide what a snapshot holds.
type Options struct {
	// MaxCalls bounds the records of calls that may not be repeated.
	MaxCalls int
	// MaxForgotten bounds the remembered keys whose records were dropped.
	MaxForgotten int
	// MaxChanges bounds the accepted changes in the history.
	MaxChanges int
	// MaxRefusals bounds the refused changes in the history.
	MaxRefusals int
	// MaxOrders bounds the orders that are told although they were replaced.
	MaxOrders int
	// MaxApplied bounds the remembered results of command IDs.
	MaxApplied int
}

// Defaults of Options.
const (
	DefaultMaxCalls     = 100_000
	DefaultMaxForgotten = 1_000_000
	DefaultMaxChanges   = 8192
	DefaultMaxRefusals  = 2048
	DefaultMaxOrders    = 8192
	DefaultMaxApplied   = 8192
)

func (o Options) withDefaults() Options {
	set := func(v *int, fallback int) {
		if *v <= 0 {
			*v = fallback
		}
	}
	set(&o.MaxCalls, DefaultMaxCalls)
	set(&o.MaxForgotten, DefaultMaxForgotten)
	set(&o.MaxChanges, DefaultMaxChanges)
	set(&o.MaxRefusals, DefaultMaxRefusals)
	set(&o.MaxOrders, DefaultMaxOrders)
	set(&o.MaxApplied, DefaultMaxApplied)
	return o
}

// view is the configuration in force.
type view struct {
	config   *config.Config
	revision uint64
}

// Machine is the state machine of one replica.
type Machine struct {
	opts Options
	view atomic.Pointer[view]
	// merger is used by Apply and Restore alone.
	merger config.Merger

	mu    sync.RWMutex
	index uint64
	term  uint64
	// stamp is the proposer's time of the command that is being applied.
	stamp     int64
	files     map[string]File
	removed   map[string]uint64
	manifests map[string]*registered
	orders    map[string]control.Order
	placed    []PlacedOrder
	calls     *callTable
	history   *history
	applied   *appliedTable
	clock     *clockTable
	changed   chan struct{}
}

// New returns a machine that holds the empty configuration at revision 0.
func New(opts Options) *Machine {
	m := &Machine{opts: opts.withDefaults(), changed: make(chan struct{})}
	m.reset()
	merged, _ := config.Merge(nil)
	m.view.Store(&view{config: merged.Config})
	return m
}

func (m *Machine) reset() {
	m.index, m.term = 0, 0
	m.files = make(map[string]File)
	m.removed = make(map[string]uint64)
	m.manifests = make(map[string]*registered)
	m.orders = make(map[string]control.Order)
	m.placed = nil
	m.calls = newCallTable(m.opts)
	m.history = newHistory(m.opts)
	m.applied = newAppliedTable(m.opts.MaxApplied)
	m.clock = newClockTable()
}

// Apply carries out one committed command and returns its result. A command
// with index at or below the last one applied has no effect.
func (m *Machine) Apply(index, term uint64, cmd control.Command) control.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	if index <= m.index {
		return refusal(result.BadCommand, "entry was applied before")
	}
	m.index, m.term, m.stamp = index, term, cmd.Time
	m.clock.advance(cmd.VM, cmd.Time, index)
	m.calls.expire(m.clock.now, m.retention())
	res := m.dispatch(cmd)
	if res.Index == 0 {
		res.Index, res.Term = index, term
	}
	m.notify()
	return res
}

// dispatch decides a command or returns the result that was recorded for it.
// Calls carry their own record of the command that made them, and so need no
// place in the table of applied commands.
func (m *Machine) dispatch(cmd control.Command) control.Result {
	switch {
	case cmd.Reserve != nil:
		return m.applyReserve(cmd)
	case cmd.Outcome != nil:
		return m.applyOutcome(cmd)
	}
	if res, ok := m.applied.get(cmd.ID); ok {
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
		return refusal(result.BadCommand, "the command is empty")
	}
	if res.Index == 0 {
		res.Index, res.Term = m.index, m.term
	}
	m.applied.put(cmd.ID, res)
	return res
}

func (m *Machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func refusal(code result.Code, detail string) control.Result {
	return control.Result{Code: int(code), Detail: clip(detail)}
}

// maxDetail bounds the text of a refusal that is kept.
const maxDetail = 2048

func clip(s string) string {
	if len(s) <= maxDetail {
		return s
	}
	return s[:maxDetail] + "..."
}
