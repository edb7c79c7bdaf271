// Package link implements a link: a WebSocket between two of the system's
// processes that carries typed CBOR messages in both directions. A message is a
// call, which gets a reply, or a notification. Notifications arrive in the order
// in which they were sent.
package link

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

const (
	// maxMessageBytes limits the size of a message; snapshots are sent in smaller
	// parts.
	maxMessageBytes = 16 << 20
	// writeTimeout closes a link whose peer has stopped reading.
	writeTimeout = 5 * time.Second
	// maxConcurrentCalls limits the peer's calls that run at the same time.
	maxConcurrentCalls = 512
	// sendQueueSize is how many outgoing messages may wait to be written.
	sendQueueSize = 1024
	// pingInterval and pingTimeout limit how long a link to an unreachable peer
	// stays open.
	pingInterval = time.Second
	pingTimeout  = 2 * time.Second
)

// Handler serves the peer's messages. Notify is called in order on the link's read
// loop and must not block. Each Call runs on its own goroutine. An error that Call
// returns is sent to the caller with its result code. A panic of either is logged and
// closes the link, but does not end the process: a handler must not leave locks held.
type Handler interface {
	Notify(c *Conn, kind wire.Kind, body cbor.RawMessage)
	Call(ctx context.Context, c *Conn, kind wire.Kind, body cbor.RawMessage) (any, error)
}

// Conn is an open link. All methods are safe for concurrent use.
type Conn struct {
	ws        *websocket.Conn
	peer      wire.Hello
	handler   Handler
	stats     *Stats
	log       *slog.Logger
	sendQueue chan []byte
	// callSlots holds one element for each running call of the peer.
	callSlots chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	// lastReceived is the time of the last received message in Unix nanoseconds.
	lastReceived atomic.Int64

	// mu guards the fields below; nothing blocks while it is held.
	mu     sync.Mutex
	nextID uint64
	// pending holds the reply channels of this side's calls by message ID.
	pending map[uint64]chan wire.Envelope
}

func newConn(ws *websocket.Conn, peer wire.Hello, h Handler, stats *Stats, log *slog.Logger) *Conn {
	if stats == nil {
		stats = &Stats{}
	}
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Conn{
		ws:        ws,
		peer:      peer,
		handler:   h,
		stats:     stats,
		log:       log,
		sendQueue: make(chan []byte, sendQueueSize),
		callSlots: make(chan struct{}, maxConcurrentCalls),
		ctx:       ctx,
		cancel:    cancel,
		pending:   make(map[uint64]chan wire.Envelope),
	}
}

// Peer returns the hello message of the peer.
func (c *Conn) Peer() wire.Hello { return c.peer }

// Done returns a channel that is closed when the link is lost or closed.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// Close closes the link. Calls in progress fail with LinkLost.
func (c *Conn) Close() {
	c.cancel()
}

// Notify queues a message and does not wait for delivery. It fails with LinkLost
// if the link is closed or its send queue is full; a full queue closes the link.
func (c *Conn) Notify(kind wire.Kind, msg any) error {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return result.New(result.BadMessage, "encode message of kind %d: %v", kind, err)
	}
	return c.enqueue(wire.Envelope{Kind: kind, Body: body})
}

// Call sends req and decodes the reply into resp, which may be nil. If ctx ends or
// the link is lost, it fails with LinkLost, and it is unknown whether the peer
// executed the call. If the peer refuses the call, the error has the peer's result
// code.
func (c *Conn) Call(ctx context.Context, kind wire.Kind, req, resp any) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return result.New(result.BadMessage, "encode message of kind %d: %v", kind, err)
	}
	id, reply := c.addPending()
	defer c.removePending(id)
	if err := c.enqueue(wire.Envelope{Kind: kind, ID: id, Body: body}); err != nil {
		return err
	}
	select {
	case env := <-reply:
		return decodeReply(env, resp)
	case <-ctx.Done():
		return result.New(result.LinkLost, "no reply from %s: %v", c.peer.Name, ctx.Err())
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
	if err := wire.Decode(env.Body, resp); err != nil {
		return result.New(result.BadMessage, "decode reply of kind %d: %v", env.Kind, err)
	}
	return nil
}

// addPending registers a new call and returns its ID and reply channel.
func (c *Conn) addPending() (uint64, chan wire.Envelope) {
	reply := make(chan wire.Envelope, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	c.pending[c.nextID] = reply
	return c.nextID, reply
}

func (c *Conn) removePending(id uint64) {
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
	case c.sendQueue <- data:
		return nil
	default:
		c.Close()
		return result.New(result.LinkLost, "send queue of link to %s is full", c.peer.Name)
	}
}

// run sends and receives messages until the link is lost.
func (c *Conn) run() {
	defer c.cancel()
	go c.writeLoop()
	go c.pingLoop()
	c.readLoop()
}

// pingLoop closes the link if the peer does not answer a ping. It sends no pings
// while messages arrive.
func (c *Conn) pingLoop() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		// The time is negative if the wall clock was set back.
		if silent := time.Since(time.Unix(0, c.lastReceived.Load())); silent >= 0 && silent < pingInterval {
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
		case data := <-c.sendQueue:
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
	c.stats.countSent(len(data))
	return c.ws.Write(ctx, websocket.MessageBinary, data)
}

func (c *Conn) readLoop() {
	for {
		_, data, err := c.ws.Read(c.ctx)
		if err != nil {
			return
		}
		c.lastReceived.Store(time.Now().UnixNano())
		c.stats.countReceived(len(data))
		var env wire.Envelope
		if err := wire.Decode(data, &env); err != nil {
			return
		}
		c.dispatch(env)
	}
}

func (c *Conn) dispatch(env wire.Envelope) {
	switch {
	case env.Reply:
		c.deliverReply(env)
	case env.ID == 0:
		c.notify(env)
	default:
		c.serveCall(env)
	}
}

// notify passes a notification of the peer to the handler.
func (c *Conn) notify(env wire.Envelope) {
	defer c.containPanic(env)
	c.handler.Notify(c, env.Kind, env.Body)
}

// maxLoggedStack bounds the stack trace of a panic in the log, in bytes.
const maxLoggedStack = 4 << 10

// containPanic logs a panic of the handler and closes the link. It must be deferred.
func (c *Conn) containPanic(env wire.Envelope) {
	cause := recover()
	if cause == nil {
		return
	}
	stack := debug.Stack()
	c.stats.panics.Add(1)
	c.log.Error("message handler panicked", "code", int(result.Internal), "peer", c.peer.Name, "role", c.peer.Role, "kind", int(env.Kind),
		"id", env.ID, "bytes", len(env.Body), "error", fmt.Sprint(cause), "stack", string(stack[:min(len(stack), maxLoggedStack)]))
	c.Close()
}

// deliverReply passes a reply to the call that waits for it, if any.
func (c *Conn) deliverReply(env wire.Envelope) {
	c.mu.Lock()
	reply := c.pending[env.ID]
	delete(c.pending, env.ID)
	c.mu.Unlock()
	if reply != nil {
		reply <- env
	}
}

// serveCall runs a call of the peer and sends its reply.
func (c *Conn) serveCall(env wire.Envelope) {
	select {
	case c.callSlots <- struct{}{}:
	default:
		refusal := result.Refuse(result.QueueFull, 0, "too many concurrent calls on one link")
		_ = c.enqueue(newReply(env, nil, refusal))
		return
	}
	go func() {
		defer func() { <-c.callSlots }()
		defer c.containPanic(env)
		resp, err := c.handler.Call(c.ctx, c, env.Kind, env.Body)
		_ = c.enqueue(newReply(env, resp, err))
	}()
}

// newReply builds the reply to a call from its result or error.
func newReply(env wire.Envelope, resp any, err error) wire.Envelope {
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
