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

// snapshotFormat is the version of the snapshot's layout.
const snapshotFormat = 1

var encoder = mustEncoder()

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 26, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

type snapshot struct {
	Format    int             `cbor:"1,keyasint"`
	Index     uint64          `cbor:"2,keyasint"`
	Term      uint64          `cbor:"3,keyasint"`
	Revision  uint64          `cbor:"4,keyasint"`
	Files     []File          `cbor:"5,keyasint"`
	Manifests []*registered   `cbor:"6,keyasint"`
	Orders    []control.Order `cbor:"7,keyasint"`
	Accepted  []Change        `cbor:"8,keyasint"`
	Refused   []Change        `cbor:"9,keyasint"`
	Dropped   uint64          `cbor:"10,keyasint"`
	Applied   []appliedEntry  `cbor:"11,keyasint"`
	Calls     []callEntry     `cbor:"12,keyasint"`
	Oldest    int64           `cbor:"13,keyasint"`
	Sealed    [][]uint64      `cbor:"14,keyasint"`
	Newest    []uint64        `cbor:"15,keyasint"`
	Now       int64           `cbor:"16,keyasint"`
	VMs       []vmTime        `cbor:"17,keyasint"`
	// Removed is written in the order of its keys, as all maps are.
	Removed map[string]uint64 `cbor:"18,keyasint"`
	Placed  []PlacedOrder     `cbor:"19,keyasint"`
}

type appliedEntry struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Result control.Result
}

type callEntry struct {
	_           struct{} `cbor:",toarray"`
	Queued      int64
	Account     string
	Service     string
	Agent       string
	Incarnation string
	Entry       string
	Key         string
	Body        manifest.Digest
	Answer      *control.Answer
	Age         int64
	Stamp       int64
	Attempt     int32
	ReservedBy  commandTag
	Verdict     string
}

// Snapshot returns the machine's whole state in deterministic CBOR.
func (m *Machine) Snapshot() ([]byte, error) {
	return m.Capture()()
}

// Capture takes the state as it is now and returns a function that encodes it
// as Snapshot does. The function may run in another goroutine beside Apply:
// what it reads is never changed. Capturing copies no more than pointers for
// each record of a call.
func (m *Machine) Capture() func() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &snapshot{
		Format: snapshotFormat, Index: m.index, Term: m.term, Revision: m.view.Load().revision,
		Files: m.sortedFiles(), Orders: m.sortedOrders(),
		Accepted: m.history.accepted, Refused: m.history.refused, Dropped: m.history.dropped,
		Oldest: m.calls.oldest, Sealed: m.calls.forgotten.sealed, Newest: m.calls.forgotten.newest,
		Now: m.clock.now, VMs: slices.Clone(m.clock.vms), Removed: maps.Clone(m.removed), Placed: m.placed,
	}
	for _, version := range sortedKeys(m.manifests) {
		s.Manifests = append(s.Manifests, m.manifests[version])
	}
	for _, id := range m.applied.order {
		s.Applied = append(s.Applied, appliedEntry{ID: id, Result: m.applied.results[id]})
	}
	queue := m.calls.queue
	records := make([]*record, len(queue))
	for i, q := range queue {
		records[i] = m.calls.records[q.key]
	}
	return func() ([]byte, error) {
		s.Calls = callEntries(queue, records)
		return encoder.Marshal(s)
	}
}

func callEntries(queue []expiry, records []*record) []callEntry {
	entries := make([]callEntry, len(queue))
	for i, r := range records {
		entries[i] = callEntry{
			Queued: queue[i].time, Account: r.account.Value(), Service: r.service.Value(), Agent: r.agent.Value(),
			Incarnation: r.incarnation.Value(), Entry: r.entry.Value(), Key: r.key, Body: r.body, Answer: r.answer,
			Age: r.age, Stamp: r.stamp, Attempt: r.attempt, ReservedBy: r.reservedBy, Verdict: r.verdict,
		}
	}
	return entries
}

// Restore replaces the machine's state by a snapshot. On an error the state
// stays as it was.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := decoder.Unmarshal(data, &s); err != nil {
		return result.New(result.SnapshotDamaged, "%s", err.Error())
	}
	if s.Format != snapshotFormat {
		return result.New(result.SnapshotDamaged, "snapshot format %d; this release reads %d", s.Format, snapshotFormat)
	}
	files := make([]config.File, len(s.Files))
	for i, f := range s.Files {
		files[i] = config.File{Name: f.Name, Content: f.Content}
	}
	merged := m.merger.MergeAccepted(files)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load(&s)
	m.view.Store(&view{config: merged.Config, revision: s.Revision})
	m.notify()
	return nil
}

func (m *Machine) load(s *snapshot) {
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
	m.history.accepted, m.history.refused, m.history.dropped = s.Accepted, s.Refused, s.Dropped
	for _, a := range s.Applied {
		m.applied.put(a.ID, a.Result)
	}
	m.placed = s.Placed
	m.clock.now, m.clock.vms = s.Now, s.VMs
	m.calls.oldest = s.Oldest
	m.loadCalls(s)
}

func (m *Machine) loadCalls(s *snapshot) {
	f := m.calls.forgotten
	f.sealed, f.newest = s.Sealed, slices.Clone(s.Newest)
	for _, fp := range f.newest {
		f.index[fp] = struct{}{}
	}
	for _, e := range s.Calls {
		key := keyOf(e.Account, e.Key)
		m.calls.records[key] = &record{
			account: unique.Make(e.Account), service: unique.Make(e.Service), agent: unique.Make(e.Agent),
			incarnation: unique.Make(e.Incarnation), entry: unique.Make(e.Entry), key: e.Key, body: e.Body,
			answer: e.Answer, age: e.Age, stamp: e.Stamp, attempt: e.Attempt, reservedBy: e.ReservedBy, verdict: e.Verdict,
		}
		m.calls.queue = append(m.calls.queue, expiry{key: key, time: e.Queued})
	}
}
