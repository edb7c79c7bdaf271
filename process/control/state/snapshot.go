package state

import (
	"maps"
	"slices"
	"unique"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// snapshotFormat is the version of the snapshot format.
const snapshotFormat = 1

var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 26, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

type snapshot struct {
	Format        int             `cbor:"1,keyasint"`
	Index         uint64          `cbor:"2,keyasint"`
	Term          uint64          `cbor:"3,keyasint"`
	Revision      uint64          `cbor:"4,keyasint"`
	Files         []File          `cbor:"5,keyasint"`
	Manifests     []*registration `cbor:"6,keyasint"`
	Orders        []control.Order `cbor:"7,keyasint"`
	Accepted      []Change        `cbor:"8,keyasint"`
	Rejected      []Change        `cbor:"9,keyasint"`
	Dropped       uint64          `cbor:"10,keyasint"`
	Results       []cachedResult  `cbor:"11,keyasint"`
	Calls         []callEntry     `cbor:"12,keyasint"`
	Cutoff        int64           `cbor:"13,keyasint"`
	SealedDropped [][]uint64      `cbor:"14,keyasint"`
	NewestDropped []uint64        `cbor:"15,keyasint"`
	Now           int64           `cbor:"16,keyasint"`
	VMs           []vmTime        `cbor:"17,keyasint"`
	// Removed is encoded deterministically: the encoder sorts map keys.
	Removed map[string]uint64 `cbor:"18,keyasint"`
	Placed  []PlacedOrder     `cbor:"19,keyasint"`
}

type cachedResult struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Result control.Result
}

type callEntry struct {
	_           struct{} `cbor:",toarray"`
	QueuedAt    int64
	Account     string
	Service     string
	Agent       string
	Incarnation string
	Entry       string
	Key         string
	BodyDigest  manifest.Digest
	Answer      *control.Answer
	ChangedAt   int64
	ProposedAt  int64
	Attempt     int32
	ReservedBy  commandTag
	Outcome     string
}

// Snapshot returns the machine's state in deterministic CBOR.
func (m *Machine) Snapshot() ([]byte, error) {
	return m.Capture()()
}

// Capture captures the current state and returns a function that encodes it like
// Snapshot. The function may run in another goroutine concurrently with Apply,
// since it reads only immutable data. Capture copies only a pointer for each
// call record.
func (m *Machine) Capture() func() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &snapshot{
		Format: snapshotFormat, Index: m.index, Term: m.term, Revision: m.active.Load().revision,
		Files: m.sortedFiles(), Orders: m.sortedOrders(),
		Accepted: m.history.accepted, Rejected: m.history.rejected, Dropped: m.history.dropped,
		Cutoff: m.calls.cutoff, SealedDropped: m.calls.dropped.sealed, NewestDropped: m.calls.dropped.newest,
		Now: m.clock.now, VMs: slices.Clone(m.clock.vms), Removed: maps.Clone(m.removed), Placed: m.placedOrders,
	}
	for _, version := range sortedKeys(m.manifests) {
		s.Manifests = append(s.Manifests, m.manifests[version])
	}
	for _, id := range m.results.fifo {
		s.Results = append(s.Results, cachedResult{ID: id, Result: m.results.results[id]})
	}
	queue := m.calls.expiryQueue
	records := make([]*callRecord, len(queue))
	for i, q := range queue {
		records[i] = m.calls.records[q.key]
	}
	return func() ([]byte, error) {
		s.Calls = callEntries(queue, records)
		return encMode.Marshal(s)
	}
}

func callEntries(queue []queuedRecord, records []*callRecord) []callEntry {
	entries := make([]callEntry, len(queue))
	for i, r := range records {
		entries[i] = callEntry{
			QueuedAt: queue[i].time, Account: r.account.Value(), Service: r.service.Value(), Agent: r.agent.Value(),
			Incarnation: r.incarnation.Value(), Entry: r.entry.Value(), Key: r.key, BodyDigest: r.bodyDigest, Answer: r.answer,
			ChangedAt: r.changedAt, ProposedAt: r.proposedAt, Attempt: r.attempt, ReservedBy: r.reservedBy, Outcome: r.outcome,
		}
	}
	return entries
}

// Restore replaces the machine's state by a snapshot. The state is unchanged if
// it returns an error.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := decMode.Unmarshal(data, &s); err != nil {
		return result.New(result.SnapshotDamaged, "%s", err.Error())
	}
	if s.Format != snapshotFormat {
		return result.New(result.SnapshotDamaged, "unsupported snapshot format %d; this release reads %d", s.Format, snapshotFormat)
	}
	files := make([]config.File, len(s.Files))
	for i, f := range s.Files {
		files[i] = config.File{Name: f.Name, Content: f.Content}
	}
	merged := m.merger.MergeAccepted(files)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restoreTables(&s)
	m.active.Store(&activeConfig{config: merged.Config, revision: s.Revision})
	m.notifyChange()
	return nil
}

func (m *Machine) restoreTables(s *snapshot) {
	m.reset()
	m.index, m.term = s.Index, s.Term
	for _, f := range s.Files {
		m.files[f.Name] = f
	}
	for _, r := range s.Manifests {
		r.digest = r.Manifest.Digest()
		m.manifests[r.Manifest.Version] = r
	}
	for _, o := range s.Orders {
		m.orders[o.Agent] = o
	}
	for name, revision := range s.Removed {
		m.removed[name] = revision
	}
	m.history.accepted, m.history.rejected, m.history.dropped = s.Accepted, s.Rejected, s.Dropped
	for _, a := range s.Results {
		m.results.put(a.ID, a.Result)
	}
	m.placedOrders = s.Placed
	m.clock.now, m.clock.vms = s.Now, s.VMs
	m.calls.cutoff = s.Cutoff
	m.restoreCalls(s)
}

func (m *Machine) restoreCalls(s *snapshot) {
	dropped := m.calls.dropped
	dropped.sealed, dropped.newest = s.SealedDropped, slices.Clone(s.NewestDropped)
	for _, fp := range dropped.newest {
		dropped.newestIndex[fp] = struct{}{}
	}
	for _, e := range s.Calls {
		key := hashCallKey(e.Account, e.Key)
		m.calls.records[key] = &callRecord{
			account: unique.Make(e.Account), service: unique.Make(e.Service), agent: unique.Make(e.Agent),
			incarnation: unique.Make(e.Incarnation), entry: unique.Make(e.Entry), key: e.Key, bodyDigest: e.BodyDigest,
			answer: e.Answer, changedAt: e.ChangedAt, proposedAt: e.ProposedAt, attempt: e.Attempt, reservedBy: e.ReservedBy, outcome: e.Outcome,
		}
		m.calls.expiryQueue = append(m.calls.expiryQueue, queuedRecord{key: key, time: e.QueuedAt})
	}
}
