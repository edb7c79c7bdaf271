package observation

import (
	"time"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

// Publisher numbers the records of one process and collects what must be sent with the
// next message. It is not safe for concurrent use.
type Publisher struct {
	store  *Store
	origin string
	seq    uint64
	unsent map[ID]bool
}

// NewPublisher returns a publisher for the incarnation of a process.
func NewPublisher(store *Store, origin string) *Publisher {
	return &Publisher{store: store, origin: origin, unsent: map[ID]bool{}}
}

// Publish adds a record to the store and queues it.
func (p *Publisher) Publish(kind Kind, key string, body []byte, at boottime.Instant, ttl time.Duration, now boottime.Instant) {
	p.seq++
	r := Record{Kind: kind, Key: key, Origin: p.origin, Seq: p.seq, TTL: ttl.Milliseconds(), Body: body, At: at}
	if len(key) <= maxKeyBytes && len(body) <= MaxBodyBytes && p.store.put(r, now) {
		p.unsent[r.ID()] = true
	}
}

// Queue queues records of other processes.
func (p *Publisher) Queue(records []Record) {
	for i := range records {
		p.unsent[records[i].ID()] = true
	}
}

// Take returns the queued records.
func (p *Publisher) Take(now boottime.Instant) []Record {
	if len(p.unsent) == 0 {
		return nil
	}
	records := p.store.Select(now, func(id ID) bool { return p.unsent[id] })
	clear(p.unsent)
	return records
}

// Own returns all records of this process.
func (p *Publisher) Own(now boottime.Instant) []Record {
	return p.store.Select(now, func(id ID) bool { return id.Origin == p.origin })
}
