package link

import (
	"context"
	"crypto/subtle"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// Path is the HTTP path at which a process accepts links.
const Path = "/v1/link"

// KeyHeader is the HTTP header that carries the join key.
const KeyHeader = "Waxwingpost-Join-Key"

const handshakeTimeout = 5 * time.Second

// maxHelloBytes bounds the first message of a peer, which is read before the peer is known.
const maxHelloBytes = 64 << 10

// Authenticator decides which peers may join. Without a key it accepts only peers
// on a loopback address.
type Authenticator struct {
	// Key is the join key from the settings; it may be empty.
	Key string
	// AllowAll accepts every peer. It is for networks in which only processes of the
	// system can reach the listener.
	AllowAll bool
}

// Check returns an Unauthenticated error unless the sender of the request may join.
func (a Authenticator) Check(r *http.Request) error {
	if a.AllowAll {
		return nil
	}
	if a.Key == "" {
		return requireLoopback(r.RemoteAddr)
	}
	got := []byte(r.Header.Get(KeyHeader))
	if subtle.ConstantTimeCompare(got, []byte(a.Key)) != 1 {
		return result.New(result.Unauthenticated, "peer %s sent a wrong join key", r.RemoteAddr)
	}
	return nil
}

func requireLoopback(remote string) error {
	host, _, err := net.SplitHostPort(remote)
	if err == nil && net.ParseIP(host).IsLoopback() {
		return nil
	}
	return result.New(result.Unauthenticated, "no join key is set and peer %s has no loopback address", remote)
}

// SetJoinKey sets the join key header on a request to a peer.
func (a Authenticator) SetJoinKey(r *http.Request) {
	if a.Key != "" {
		r.Header.Set(KeyHeader, a.Key)
	}
}

// Acceptor is the HTTP handler that accepts links at Path. A link ends with the context of its
// request: closing the server does not close connections that were upgraded.
type Acceptor struct {
	Auth Authenticator
	// Self returns the hello message of this process.
	Self func() wire.Hello
	// Open is called for each new link after the peer's hello message arrived. An
	// error refuses the link and is sent to the peer with its result code. The
	// returned function, if not nil, is called after the link is lost.
	Open func(c *Conn) (closed func(), err error)
	// Handler serves the messages of all accepted links.
	Handler Handler
	// Stats counts the traffic of all links; it may be nil.
	Stats *Stats
	// Log receives the panics of the handler; it may be nil.
	Log *slog.Logger
}

// ServeHTTP upgrades the request and serves the link until it is lost.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := a.Auth.Check(r); err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	ws.SetReadLimit(maxHelloBytes)
	a.serve(r.Context(), ws)
}

func (a *Acceptor) serve(ctx context.Context, ws *websocket.Conn) {
	defer func() { _ = ws.CloseNow() }()
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	peer, err := readHello(handshakeCtx, ws)
	if err != nil {
		return
	}
	c := newConn(ws, peer, a.Handler, a.Stats, a.Log)
	closed, err := a.Open(c)
	if sendErr := writeHello(handshakeCtx, ws, a.Self(), err); err != nil || sendErr != nil {
		c.Close()
		runHook(closed)
		return
	}
	ws.SetReadLimit(maxMessageBytes)
	defer context.AfterFunc(ctx, c.Close)()
	c.run()
	runHook(closed)
}

func runHook(f func()) {
	if f != nil {
		f()
	}
}

// Dialer opens links to other processes.
type Dialer struct {
	Auth Authenticator
	// Self returns the hello message of this process.
	Self func() wire.Hello
	// Handler serves the messages of the peers.
	Handler Handler
	// Client may be nil to use the default transport.
	Client *http.Client
	// Stats counts the traffic of all links; it may be nil.
	Stats *Stats
	// Log receives the panics of the handler; it may be nil.
	Log *slog.Logger
}

// Dial opens a link to address, an "IP:port". The caller must call Close on it.
// It fails with Unauthenticated if the peer refused the join key, with
// ProtocolVersion if the peer uses another version, with LinkLost if the peer can't
// be reached, or with the code with which the peer refused the link.
func (d *Dialer) Dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	header := http.Header{}
	if d.Auth.Key != "" {
		header.Set(KeyHeader, d.Auth.Key)
	}
	opts := &websocket.DialOptions{HTTPHeader: header, HTTPClient: d.Client}
	//nolint:bodyclose // the library closes the body
	ws, resp, err := websocket.Dial(ctx, "ws://"+address+Path, opts)
	if err != nil {
		return nil, dialError(address, resp, err)
	}
	ws.SetReadLimit(maxMessageBytes)
	return d.exchangeHello(ctx, ws, address)
}

func dialError(address string, resp *http.Response, err error) error {
	if resp != nil && resp.StatusCode == http.StatusForbidden {
		return result.New(result.Unauthenticated, "%s refused the join key", address)
	}
	return result.New(result.LinkLost, "dial %s: %v", address, err)
}

// exchangeHello performs the handshake on a new WebSocket and starts the link.
func (d *Dialer) exchangeHello(ctx context.Context, ws *websocket.Conn, address string) (*Conn, error) {
	if err := writeHello(ctx, ws, d.Self(), nil); err != nil {
		_ = ws.CloseNow()
		return nil, result.New(result.LinkLost, "send hello to %s: %v", address, err)
	}
	peer, err := readHello(ctx, ws)
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	c := newConn(ws, peer, d.Handler, d.Stats, d.Log)
	go c.run()
	return c, nil
}

// writeHello sends this process's hello message, or refusal if it is not nil.
func writeHello(ctx context.Context, ws *websocket.Conn, self wire.Hello, refusal error) error {
	self.Protocol = wire.Version
	env := newReply(wire.Envelope{Kind: wire.KindHello}, self, refusal)
	data, err := cbor.Marshal(env)
	if err != nil {
		return err
	}
	return ws.Write(ctx, websocket.MessageBinary, data)
}

// readHello reads the peer's hello message. It fails if the peer refused the link
// or uses another protocol version.
func readHello(ctx context.Context, ws *websocket.Conn) (wire.Hello, error) {
	var hello wire.Hello
	_, data, err := ws.Read(ctx)
	if err != nil {
		return hello, result.New(result.LinkLost, "read hello: %v", err)
	}
	var env wire.Envelope
	if err := wire.Decode(data, &env); err != nil {
		return hello, result.New(result.BadMessage, "decode hello: %v", err)
	}
	if err := decodeReply(env, &hello); err != nil {
		return hello, err
	}
	if hello.Protocol != wire.Version {
		return hello, result.New(result.ProtocolVersion, "protocol version mismatch: peer has %d, this process %d", hello.Protocol, wire.Version)
	}
	return hello, nil
}

// Require returns a handler that passes requests accepted by Check to h and
// refuses all others.
func (a Authenticator) Require(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := a.Check(r); err != nil {
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
		h.ServeHTTP(w, r)
	})
}
