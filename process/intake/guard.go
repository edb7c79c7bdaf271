package intake

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// reason is why a connection was closed or a request refused.
type reason uint8

const (
	closedLines reason = iota
	closedSection
	closedHeaders
	closedBodies
	closedConnections
	closedStreams
	endedResponses
	reasonCount
)

var reasonNames = [reasonCount]string{"header_lines", "header_bytes", "headers_memory", "bodies_memory", "connections", "slow_readers", "unfinished_responses"}

// logInterval is the shortest interval between two log lines of a guard.
const logInterval = 10 * time.Second

// Guard applies the limits of a process to its HTTP servers. It is safe for concurrent use.
type Guard struct {
	limits Limits
	// sectionBytes and sectionLines bound one header section.
	sectionBytes, sectionLines atomic.Int64
	headers, bodies            *Ledger
	// streams accounts for the events that callers have not taken yet.
	streams *Ledger
	// responses accounts for the responses of servers that have not ended.
	responses *Ledger
	clock     clockwork.Clock
	log       *slog.Logger
	counters  [reasonCount]tally.Counter

	// mu guards the fields below.
	mu    sync.Mutex
	conns map[*Conn]struct{}
	// unlogged counts what was closed since the last log line, at lastLog.
	unlogged [reasonCount]int
	lastLog  time.Time
}

// New returns a guard without connections.
func New(limits Limits, clock clockwork.Clock, log *slog.Logger, scope tally.Scope) *Guard {
	g := &Guard{
		limits: limits, clock: clock, log: log, conns: map[*Conn]struct{}{},
		headers: NewLedger(limits.HeaderBytes, headerFloor), bodies: NewLedger(limits.BodyBytes, bodyFloor),
		streams: NewLedger(limits.StreamBytes, 0), responses: NewLedger(limits.ResponseBytes, responseFloor),
	}
	g.AllowSections(limits.SectionBytes)
	for i, name := range reasonNames {
		g.counters[i] = scope.Tagged(map[string]string{"reason": name}).Counter("intake_closed")
	}
	return g
}

// Streams returns the ledger of events that callers have not taken yet. Who keeps events must
// charge them there; the holder of the most for the longest is the slowest reader.
func (g *Guard) Streams() *Ledger { return g.streams }

// RecordSlowReader counts and logs a stream that was ended for others.
func (g *Guard) RecordSlowReader() { g.record(closedStreams) }

// Responses returns the ledger of the responses that are held until they end. A server whose
// response has no end holds the most for the longest.
func (g *Guard) Responses() *Ledger { return g.responses }

// RecordUnfinished counts and logs a response that was ended for others.
func (g *Guard) RecordUnfinished() { g.record(endedResponses) }

// AllowSections sets the size of the header sections that are accepted, in whatever lines,
// unless it is below the guard's limit.
func (g *Guard) AllowSections(size int) {
	size = max(size, g.limits.SectionBytes)
	g.sectionBytes.Store(int64(size + sectionSlack))
	g.sectionLines.Store(int64(size+lineSlack) / minLine)
}

// record counts a closed connection or refused request, and logs it unless that was done
// less than logInterval ago.
func (g *Guard) record(why reason) {
	g.counters[why].Inc(1)
	now := g.clock.Now()
	g.mu.Lock()
	g.unlogged[why]++
	if !g.lastLog.IsZero() && now.Sub(g.lastLog) < logInterval {
		g.mu.Unlock()
		return
	}
	counts := g.unlogged
	g.unlogged, g.lastLog = [reasonCount]int{}, now
	g.mu.Unlock()
	attrs := []any{"code", int(result.MemoryLimit)}
	for i, n := range counts {
		if n > 0 && reason(i) != endedResponses {
			attrs = append(attrs, reasonNames[i], n)
		}
	}
	if n := counts[endedResponses]; n > 0 {
		g.log.Warn("responses of servers without end: responses ended since the last such line", "code", int(result.MemoryLimit), reasonNames[endedResponses], n)
	}
	if len(attrs) == 2 {
		return
	}
	g.log.Warn("callers outside the limits: connections closed or requests refused since the last such line", attrs...)
}

// Dump returns the guard's part of the state dump.
func (g *Guard) Dump() any {
	g.mu.Lock()
	conns := len(g.conns)
	g.mu.Unlock()
	return map[string]any{"limits": g.limits, "header_bytes": g.headers.Used(), "body_bytes": g.bodies.Used(), "stream_bytes": g.streams.Used(), "response_bytes": g.responses.Used(), "connections": conns}
}

// Server makes an HTTP server follow the limits. Its connections must come from Listener.
func (g *Guard) Server(srv *http.Server) {
	srv.MaxHeaderBytes = max(srv.MaxHeaderBytes, g.limits.SectionBytes)
	next := srv.ConnState
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*Conn); ok {
			own.setState(state)
		}
		if next != nil {
			next(c, state)
		}
	}
}

// Listener returns a listener whose connections are accounted for.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

type listener struct {
	net.Listener
	guard *Guard
}

// notifier is a connection that stays open for a while after Close, such as one that
// discards what still arrives. NotifyClosed sets a function that is called at its end.
type notifier interface{ NotifyClosed(f func()) }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.guard.newConn(raw), nil
}

func (g *Guard) newConn(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, guard: g, since: g.clock.Now()}
	c.header = g.headers.NewHolder(func() {
		g.record(closedHeaders)
		c.abort()
	})
	if n, ok := raw.(notifier); ok {
		n.NotifyClosed(func() { g.forget(c) })
	}
	g.mu.Lock()
	g.conns[c] = struct{}{}
	over := len(g.conns) > g.limits.Connections
	g.mu.Unlock()
	if over {
		g.record(closedConnections)
		g.longestWaiting(c).abort()
	}
	return c
}

// longestWaiting returns the connection to close for a new one: one that was closed and only
// discards what still arrives, else the one that has waited longest for its first request,
// else the one that has been idle longest, else the new one.
func (g *Guard) longestWaiting(c *Conn) *Conn {
	g.mu.Lock()
	conns := make([]*Conn, 0, len(g.conns))
	for other := range g.conns {
		conns = append(conns, other)
	}
	g.mu.Unlock()
	worst, worstRank := c, rankBusy
	var worstSince time.Time
	for _, other := range conns {
		r, since := other.waiting()
		if other == c || r == rankBusy {
			continue
		}
		if r < worstRank || r == worstRank && since.Before(worstSince) {
			worst, worstRank, worstSince = other, r, since
		}
	}
	return worst
}

func (g *Guard) forget(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}
