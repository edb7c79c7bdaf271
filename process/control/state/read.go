package state

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Config returns the configuration in force and its revision. The configuration
// must not be modified.
func (m *Machine) Config() (*config.Config, uint64) {
	v := m.active.Load()
	return v.config, v.revision
}

func (m *Machine) retention() time.Duration {
	return m.active.Load().config.Requests.KeyRetention
}

// Voters returns the names of the entry VMs that are configured as voters.
func (m *Machine) Voters() []string {
	return slices.Clone(m.active.Load().config.Control.Voters)
}

// Files returns the accepted files, sorted by name. Their content must not be
// modified.
func (m *Machine) Files() []File {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.sortedFiles()
}

func (m *Machine) sortedFiles() []File {
	files := make([]File, 0, len(m.files))
	for _, f := range m.files {
		files = append(files, f)
	}
	slices.SortFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	return files
}

// AcceptedFiles returns the accepted files and their revision, read atomically.
func (m *Machine) AcceptedFiles() ([]File, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.sortedFiles(), m.active.Load().revision
}

// Order returns the order in force for an agent.
func (m *Machine) Order(agent string) (control.Order, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	o, ok := m.orders[agent]
	return o, ok
}

// Orders returns all orders in force, sorted by agent.
func (m *Machine) Orders() []control.Order {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.sortedOrders()
}

func (m *Machine) sortedOrders() []control.Order {
	orders := make([]control.Order, 0, len(m.orders))
	for _, o := range m.orders {
		orders = append(orders, o)
	}
	slices.SortFunc(orders, func(a, b control.Order) int { return strings.Compare(a.Agent, b.Agent) })
	return orders
}

// Manifest returns the registered manifest of a version. It must not be
// modified.
func (m *Machine) Manifest(version string) (*manifest.Manifest, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r, ok := m.manifests[version]
	if !ok {
		return nil, false
	}
	return &r.Manifest, true
}

// Call returns the record of a non-repeatable call.
func (m *Machine) Call(account, key string) (control.Call, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r, ok := m.calls.get(hashCallKey(account, key))
	if !ok {
		return control.Call{}, false
	}
	return *r.toCall(), true
}

// AppliedIndex returns the index of the last applied log entry.
func (m *Machine) AppliedIndex() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.index
}

// Changed returns a channel that is closed at the next change. Call it before
// reading the state, so that no change is missed.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// VersionRecord is the result of Explain for a version.
type VersionRecord struct {
	Version    string          `json:"version"`
	Config     *config.Version `json:"config,omitempty"`
	Digest     manifest.Digest `json:"digest"`
	Bytes      int64           `json:"bytes"`
	Chunks     int             `json:"chunks"`
	Index      uint64          `json:"registered_at_index"`
	Time       int64           `json:"registered_at_unix_ms"`
	VM         string          `json:"registered_by_vm"`
	Registered bool            `json:"registered"`
	Orders     []control.Order `json:"orders"`
}

// OrderRecord is the result of Explain for the orders of an agent.
type OrderRecord struct {
	Agent   string        `json:"agent"`
	InForce control.Order `json:"in_force"`
	// Placed lists the most recent orders, oldest first.
	Placed []PlacedOrder `json:"placed"`
}

// FileRecord is the result of Explain for a file.
type FileRecord struct {
	File     string          `json:"file"`
	Accepted bool            `json:"accepted"`
	Digest   manifest.Digest `json:"digest"`
	Revision uint64          `json:"revision"`
	Content  string          `json:"content,omitempty"`
	Changes  []Change        `json:"changes"`
}

// RevisionRecord is the result of Explain for a revision.
type RevisionRecord struct {
	Revision uint64   `json:"revision"`
	InForce  uint64   `json:"revision_in_force"`
	Changes  []Change `json:"changes"`
}

// Explain returns the record for a query "revision:N", "version:NAME",
// "order:AGENT", "file:NAME" or "call:ACCOUNT/KEY" as a value for JSON encoding.
// It fails with BadRequest if the query is invalid, with NotFound if there is no
// such record, and with KeyExpired if the record of a call has expired.
func (m *Machine) Explain(query string) (any, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	kind, name, _ := strings.Cut(query, ":")
	switch kind {
	case "revision":
		return m.explainRevision(name)
	case "version":
		return m.explainVersion(name)
	case "order":
		return m.explainOrder(name)
	case "file":
		return m.explainFile(name)
	case "call":
		account, key, _ := strings.Cut(name, "/")
		return m.explainCall(account, key)
	default:
		return nil, result.New(result.BadRequest, "unknown query %q: use revision:N, version:NAME, order:AGENT, file:NAME or call:ACCOUNT/KEY", query)
	}
}

func notFound(query string) error {
	return result.New(result.NotFound, "%s", query)
}

func (m *Machine) explainRevision(name string) (any, error) {
	revision, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return nil, result.New(result.BadRequest, "invalid revision %q", name)
	}
	changes := m.history.filter(func(c Change) bool { return c.Revision == revision && c.Code == 0 })
	if len(changes) == 0 {
		return nil, notFound("revision:" + name)
	}
	return RevisionRecord{Revision: revision, InForce: m.active.Load().revision, Changes: changes}, nil
}

func (m *Machine) explainVersion(name string) (any, error) {
	rec := VersionRecord{Version: name, Orders: []control.Order{}}
	if v, ok := m.active.Load().config.Versions[name]; ok {
		rec.Config = &v
	}
	if r, ok := m.manifests[name]; ok {
		rec.Registered = true
		rec.Digest, rec.Bytes, rec.Chunks = r.digest, r.Manifest.Size(), len(r.Manifest.Chunks)
		rec.Index, rec.Time, rec.VM = r.Index, r.Time, r.VM
	}
	if rec.Config == nil && !rec.Registered {
		return nil, notFound("version:" + name)
	}
	for _, o := range m.sortedOrders() {
		if o.Version == name || slices.Contains(o.Adapters, name) {
			rec.Orders = append(rec.Orders, o)
		}
	}
	return rec, nil
}

func (m *Machine) explainOrder(agent string) (any, error) {
	o, ok := m.orders[agent]
	if !ok {
		return nil, notFound("order:" + agent)
	}
	rec := OrderRecord{Agent: agent, InForce: o, Placed: []PlacedOrder{}}
	for _, p := range m.placedOrders {
		if p.Order.Agent == agent {
			rec.Placed = append(rec.Placed, p)
		}
	}
	return rec, nil
}

func (m *Machine) explainFile(name string) (any, error) {
	rec := FileRecord{File: name, Changes: m.history.filter(func(c Change) bool { return c.File == name })}
	if f, ok := m.files[name]; ok {
		rec.Accepted, rec.Digest, rec.Revision, rec.Content = true, f.Digest, f.Revision, string(f.Content)
	}
	if !rec.Accepted && len(rec.Changes) == 0 {
		return nil, notFound("file:" + name)
	}
	return rec, nil
}

func (m *Machine) explainCall(account, key string) (any, error) {
	hash := hashCallKey(account, key)
	if r, ok := m.calls.get(hash); ok {
		return *r.toCall(), nil
	}
	if m.calls.wasDropped(hash) {
		return nil, result.New(result.KeyExpired, "the call ran or may have run; its record has expired")
	}
	return nil, notFound("call:" + account + "/" + key)
}

// Dump returns a summary of the machine's state for the process's state dump.
func (m *Machine) Dump() any {
	m.mu.RLock()
	defer m.mu.RUnlock()
	type fileDump struct {
		Name     string          `json:"name"`
		Digest   manifest.Digest `json:"digest"`
		Revision uint64          `json:"revision"`
	}
	files := []fileDump{}
	for _, f := range m.sortedFiles() {
		files = append(files, fileDump{f.Name, f.Digest, f.Revision})
	}
	return struct {
		Index           uint64          `json:"index"`
		Term            uint64          `json:"term"`
		Revision        uint64          `json:"revision"`
		Files           []fileDump      `json:"files"`
		Versions        []string        `json:"versions_registered"`
		Orders          []control.Order `json:"orders"`
		Calls           int             `json:"calls"`
		DroppedCalls    int             `json:"calls_forgotten"`
		AcceptedChanges int             `json:"changes_kept"`
		DroppedChanges  uint64          `json:"changes_dropped"`
		RejectedChanges int             `json:"refusals_kept"`
		Time            int64           `json:"time_unix_ms"`
	}{
		m.index, m.term, m.active.Load().revision, files, sortedKeys(m.manifests), m.sortedOrders(),
		len(m.calls.records), m.calls.dropped.len(), len(m.history.accepted), m.history.dropped,
		len(m.history.rejected), m.clock.now,
	}
}

func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K {
	keys := make([]K, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// RemovalRevision returns the revision under which a file was last removed, or 0
// if it exists or no removal is recorded.
func (m *Machine) RemovalRevision(file string) uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.removed[file]
}
