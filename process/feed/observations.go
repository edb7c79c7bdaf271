package feed

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/waxwingpost/waxwingpost/connection/link"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/observation"
)

// observationDelay is how long records wait for others before they are sent together.
// It bounds the messages that a burst of observations causes.
const observationDelay = 30 * time.Millisecond

// observationRelay is a hub's part of the exchange of observations. Hub.mu guards it.
type observationRelay struct {
	store *observation.Store
	// followers and peers queue what is sent next to entries and to the other control
	// processes.
	followers, peers *observation.Publisher
	// armed is set while a flush is due.
	armed bool
}

func newObservationRelay() observationRelay {
	store := observation.NewStore()
	return observationRelay{store: store, followers: observation.NewPublisher(store, ""), peers: observation.NewPublisher(store, "")}
}

// Observe applies the records of an entry.
func (h *Hub) Observe(records []observation.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyObservations(records, true)
}

// applyObservations applies records and queues the new ones for the entries and, if they
// come from an entry, for the other control processes. The caller holds mu.
func (h *Hub) applyObservations(records []observation.Record, local bool) {
	added := h.relay.store.Apply(records, h.ageClock.Now())
	if len(added) == 0 {
		return
	}
	h.relay.followers.Queue(added)
	if local {
		h.relay.peers.Queue(added)
	}
	if !h.relay.armed {
		h.relay.armed = true
		h.clock.AfterFunc(observationDelay, h.flushObservations)
	}
}

// flushObservations sends the queued records.
func (h *Hub) flushObservations() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.relay.armed = false
	now := h.ageClock.Now()
	if records := h.relay.followers.Take(now); len(records) > 0 {
		for _, f := range h.followers {
			if f.conn.Peer().Role == wire.RoleEntry {
				_ = f.conn.Notify(wire.KindUpdate, wire.Update{Observations: records})
			}
		}
	}
	if records := h.relay.peers.Take(now); len(records) > 0 {
		for _, c := range h.peers.Conns() {
			_ = c.Notify(wire.KindUpdate, wire.Update{Observations: records})
		}
	}
}

// followerObservations is a follower's part of the exchange of observations.
type followerObservations struct {
	// mu guards the fields below; it is a leaf lock.
	mu        sync.Mutex
	store     *observation.Store
	publisher *observation.Publisher
	armed     bool
}

func newFollowerObservations() followerObservations {
	store := observation.NewStore()
	return followerObservations{store: store, publisher: observation.NewPublisher(store, uuid.New().String())}
}

// Observe publishes a record of this process to the control processes, which pass it on to
// all entries. It does not block.
func (f *Follower) Observe(kind observation.Kind, key string, body []byte, at boottime.Instant, ttl time.Duration) {
	o := &f.observations
	o.mu.Lock()
	defer o.mu.Unlock()
	o.publisher.Publish(kind, key, body, at, ttl, f.ageClock.Now())
	if !o.armed {
		o.armed = true
		f.clock.AfterFunc(observationDelay, f.flushObservations)
	}
}

// flushObservations sends the queued records.
func (f *Follower) flushObservations() {
	o := &f.observations
	o.mu.Lock()
	o.armed = false
	records := o.publisher.Take(f.ageClock.Now())
	o.mu.Unlock()
	if len(records) > 0 {
		f.Broadcast(wire.KindObservations, records)
	}
}

// sendOwnObservations sends the records of this process to a control process that may
// have restarted.
func (f *Follower) sendOwnObservations(c *link.Conn) {
	o := &f.observations
	o.mu.Lock()
	records := o.publisher.Own(f.ageClock.Now())
	o.mu.Unlock()
	if len(records) > 0 {
		_ = c.Notify(wire.KindObservations, records)
	}
}

// applyObservations applies records of other processes. The caller holds publishMu.
func (f *Follower) applyObservations(records []observation.Record) {
	if len(records) == 0 {
		return
	}
	o := &f.observations
	o.mu.Lock()
	now := f.ageClock.Now()
	o.store.Sweep(now)
	added := o.store.Apply(records, now)
	o.mu.Unlock()
	if len(added) > 0 && f.cfg.OnObservations != nil {
		f.cfg.OnObservations(added)
	}
}
