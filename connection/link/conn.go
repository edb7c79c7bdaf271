// Package link is one WebSocket between two of the system's processes, with
// typed CBOR messages in both directions: calls with replies, and
// notifications, which arrive in the order in which they were sent.
package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// maxMessageBytes bounds one message; snapshots are sent in parts below it.
	maxMessageBytes = 16 << 20
	// writeTimeout ends a link whose other side stopped reading.
	writeTimeout = 5 * time.Second
	// maxCalls bounds the calls of the other side that run at once.
	maxCalls = 512
	// sendQueue is how many outgoing messages may wait for the socket.
	sendQueue = 1024
	// pingInterval and pingTimeout bound how long a dead link stays open.
	pingInterval = time.Second
	pingTimeout  = 2 * time.Second
)

// Handler serves the other side's messages. Notifications are passed in order
// on the link's reading goroutine: Notify must not block. Calls run on
// goroutines of their own. A returned error reaches the caller with its code.
type Handler interface {
	Notify(c *Conn, kind wire.Kind, body cbor.RawMessage)
	Call(ctx context.Context, c *Conn, kind wire.Kind, body cbor.RawMessage) (any, error)
}

// Conn is an open link. All methods are safe for concurrent use.
type Conn struct {
	ws      *websocket.Conn
	peer    wire.Hello
	handler Handler
	stats   *Stats
	out     chan []byte
	calls   chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	// heard is when the last message arrived, in Unix nanoseconds.
	heard atomic.Int64

	// mu guards the fields below; nothing blocks while it is held.
	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]chan wire.Envelope
}

func newConn(ws *websocket.Conn, peer wire.Hello, h Handler, stats *Stats) *Conn {
	if stats == nil {
		stats = &Stats{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Conn{
		ws:      ws,
		peer:    peer,
		handler: h,
		stats:   stats,
		out:     make(chan []byte, sendQueue),
		calls:   make(chan struct{}, maxCalls),
		ctx:     ctx,
		cancel:  cancel,
		pending: make(map[uint64]chan wire.Envelope),
	}
}

// Peer returns what the other side said of itself.
func (c *Conn) Peer() wire.Hello { return c.peer }

// Done is closed when the link is lost or closed.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// Close ends the link. Calls in progress fail with LinkLost.
func (c *Conn) Close() {
	c.cancel()
}

// Notify queues a message without waiting for its arrival. It fails with
// LinkLost once the link is closed or its queue is full.
func (c *Conn) Notify(kind wire.Kind, msg any) error {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return result.New(result.BadMessage, "encode %d: %v", kind, err)
	}
	return c.enqueue(wire.Envelope{Kind: kind, Body: body})
}

// Call sends req and decodes the answer into resp, which may be nil. When
// ctx ends or the link is lost nothing is known of what the other side did.
func (c *Conn) Call(ctx context.Context, kind wire.Kind, req, resp any) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return result.New(result.BadMessage, "encode %d: %v", kind, err)
	}
	id, reply := c.expect()
	defer c.forget(id)
	if err := c.enqueue(wire.Envelope{Kind: kind, ID: id, Body: body}); err != nil {
		return err
	}
	select {
	case env := <-reply:
		return decodeReply(env, resp)
	case <-ctx.Done():
		return result.New(result.LinkLost, "no answer from %s: %v", c.peer.Name, ctx.Err())
	case <-c.ctx.Done():
		return result.New(result.LinkLost, "link to %s lost", c.peer.Name)
	}
}

func decodeReply(env wire.Envelope, resp any) error {
	if env.Code != 0 {
		e := result.New(result.Code(env.Code), "%s", env.Detail)
		e.Ran = result.Ran(env.Ran)
		return e
	}
	if resp == nil {
		return nil
	}
	if err := cbor.Unmarshal(env.Body, resp); err != nil {
		return result.New(result.BadMessage, "decode reply %d: %v", env.Kind, err)
	}
	return nil
}

func (c *Conn) expect() (uint64, chan wire.Envelope) {
	reply := make(chan wire.Envelope, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	c.pending[c.nextID] = reply
	return c.nextID, reply
}

func (c *Conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *Conn) enqueue(env wire.Envelope) error {
	data, err := cbor.Marshal(env)
	if err != nil {
		return result.New(result.BadMessage, "encode envelope: %v", err)
	}
	if c.ctx.Err() != nil {
		return result.New(result.LinkLost, "link to %s lost", c.peer.Name)
	}
	select {
	case c.out <- data:
		return nil
	default:
		c.Close()
		return result.New(result.LinkLost, "link to %s does not drain", c.peer.Name)
	}
}

// run moves messages until the link is lost.
func (c *Conn) run() {
	defer c.cancel()
	go c.writeLoop()
	go c.pingLoop()
	c.readLoop()
}

// pingLoop closes the link when the other side's host no longer answers. A
// link on which messages arrive needs no pings.
func (c *Conn) pingLoop() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Since(time.Unix(0, c.heard.Load())) < pingInterval {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, pingTimeout)
		err := c.ws.Ping(ctx)
		cancel()
		if err != nil {
			c.cancel()
			return
		}
	}
}

func (c *Conn) writeLoop() {
	defer func() { _ = c.ws.CloseNow() }()
	for {
		select {
		case <-c.ctx.Done():
			return
		case data := <-c.out:
			if err := c.write(data); err != nil {
				c.cancel()
				return
			}
		}
	}
}

func (c *Conn) write(data []byte) error {
	ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
	defer cancel()
	c.stats.sent(len(data))
	return c.ws.Write(ctx, websocket.MessageBinary, data)
}

func (c *Conn) readLoop() {
	for {
		_, data, err := c.ws.Read(c.ctx)
		if err != nil {
			return
		}
		c.heard.Store(time.Now().UnixNano())
		c.stats.received(len(data))
		var env wire.Envelope
		if err := cbor.Unmarshal(data, &env); err != nil {
			return
		}
		c.dispatch(env)
	}
}

func (c *Conn) dispatch(env wire.Envelope) {
	switch {
	case env.Reply:
		c.resolve(env)
	case env.ID == 0:
		c.handler.Notify(c, env.Kind, env.Body)
	default:
		c.serve(env)
	}
}

func (c *Conn) resolve(env wire.Envelope) {
	c.mu.Lock()
	reply := c.pending[env.ID]
	delete(c.pending, env.ID)
	c.mu.Unlock()
	if reply != nil {
		reply <- env
	}
}

func (c *Conn) serve(env wire.Envelope) {
	select {
	case c.calls <- struct{}{}:
	default:
		refusal := result.Refuse(result.QueueFull, 0, "too many calls on one link")
		_ = c.enqueue(replyTo(env, nil, refusal))
		return
	}
	go func() {
		defer func() { <-c.calls }()
		resp, err := c.handler.Call(c.ctx, c, env.Kind, env.Body)
		_ = c.enqueue(replyTo(env, resp, err))
	}()
}

func replyTo(env wire.Envelope, resp any, err error) wire.Envelope {
	reply := wire.Envelope{Kind: env.Kind, ID: env.ID, Reply: true}
	if err == nil {
		var body []byte
		body, err = cbor.Marshal(resp)
		reply.Body = body
	}
	if err != nil {
		e := result.From(err)
		reply.Code = int(e.Code)
		reply.Ran = int(e.Ran)
		reply.Detail = e.Detail
		reply.Body = nil
	}
	return reply
}
