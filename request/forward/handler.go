package forward

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/inflight"
)

// Config describes a handler.
type Config struct {
	Zone string
	// VersionWithin is the time after which only the newest weights serve.
	VersionWithin time.Duration
	// RetryShare, RetryAllowance and RetryWindow bound repeated sends, summed
	// over all entries.
	RetryShare     float64
	RetryAllowance float64
	RetryWindow    time.Duration
}

// Handler serves callers. Safe for concurrent use.
//
// Lock order: desk.mu is taken by the handler's goroutines one at a time; no
// other lock is taken while it is held.
type Handler struct {
	cfg      Config
	view     func() *feed.View
	client   *backend.Client
	clock    clockwork.Clock
	log      *slog.Logger
	desk     *desk
	inflight inflight.Counter
	closing  atomic.Bool
	metrics  metrics
}

type metrics struct {
	requests, served, refused, failed, gone, retried tally.Counter
	took, first                                      tally.Timer
}

// New returns a handler that serves by the view that view returns.
func New(cfg Config, view func() *feed.View, client *backend.Client, clock clockwork.Clock, log *slog.Logger, scope tally.Scope) *Handler {
	scope = scope.SubScope("requests")
	return &Handler{
		cfg: cfg, view: view, client: client, clock: clock, log: log,
		desk: newDesk(cfg, clock),
		metrics: metrics{
			requests: scope.Counter("received"), served: scope.Counter("served"), refused: scope.Counter("refused"),
			failed: scope.Counter("failed"), gone: scope.Counter("callers_gone"),
			retried: scope.Counter("sent_again"),
			took:    scope.Timer("duration"), first: scope.Timer("first_byte"),
		},
	}
}

// Update takes in a new view.
func (h *Handler) Update(v *feed.View) { h.desk.update(v) }

// Demand returns what callers ask of each service, in server time a second.
func (h *Handler) Demand() map[string]float64 { return h.desk.demand() }

// Pump gives places that became free with time to those that wait.
func (h *Handler) Pump() { h.desk.pumpAll() }

// Dump returns the handler's part of the state dump.
func (h *Handler) Dump() any { return h.desk.dump() }

// StopKeeping asks callers to use another connection for their next request.
func (h *Handler) StopKeeping() { h.closing.Store(true) }

// Drain waits until no request is in progress, or ctx ends.
func (h *Handler) Drain(ctx context.Context) error {
	h.inflight.StartDrain()
	return h.inflight.Drain(ctx)
}

// job is one request of a caller.
type job struct {
	id      string
	start   time.Time
	due     time.Time
	request *http.Request
	body    []byte
	route   *deployment.Route
	account *deployment.Account
	service string
	tokens  platform.Tokens
	// late is set where the caller has been waiting beyond the aim already.
	late bool
	// tried lists the servers that the request was sent to.
	tried []string
	// waited is the time in the queue.
	waited time.Duration
	// first is the time to the first byte of the answer.
	first  time.Duration
	events int
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.metrics.requests.Inc(1)
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	j := &job{id: r.Header.Get(platform.HeaderRequestID), start: h.clock.Now(), request: r}
	if h.inflight.Enter(0) == inflight.Draining {
		h.refuse(w, j, result.Refuse(result.Draining, 100*time.Millisecond, "the process stops"))
		return
	}
	defer h.inflight.Leave()
	if err := h.admit(w, j); err != nil {
		h.refuse(w, j, err)
		return
	}
	if j.route.Kind == deployment.Stream {
		h.serveStream(w, j)
		return
	}
	h.servePlain(w, j)
}

const (
	// lateShare is the part of the route's timeout below which a caller's time
	// has been spent on earlier attempts: the platform's callers begin with 0.85
	// of it or more.
	lateShare = 0.82
	// defaultBodyBytes bounds bodies where the configuration states nothing.
	defaultBodyBytes = 4 << 20
	// startingRetry is told to callers before the first configuration is here.
	startingRetry = 300 * time.Millisecond
)

// admit finds out which route and account a request belongs to and reads its
// body.
func (h *Handler) admit(w http.ResponseWriter, j *job) error {
	config := h.view().Config
	if config == nil {
		return result.Refuse(result.NoQuorum, startingRetry, "no configuration is known yet")
	}
	if j.id == "" {
		return result.New(result.BadRequest, "the request has no id")
	}
	r := j.request
	path, _, _ := strings.Cut(r.RequestURI, "?")
	j.route = config.Route(hostOnly(r.Host), path)
	if j.route == nil {
		return result.New(result.UnknownService, "no route for host %q and path %q", r.Host, path)
	}
	if !j.route.Public && len(config.Accounts) > 0 {
		j.account = config.Account(platform.Bearer(r.Header.Get(platform.HeaderAuthorization)))
		if j.account == nil {
			return result.New(result.UnknownAccount, "the key belongs to no account")
		}
	}
	h.setDeadline(j)
	if err := readBody(w, j, config.Limits); err != nil {
		return err
	}
	j.service = j.route.Shares[0].Service
	if len(j.route.Shares) > 1 {
		j.service = j.route.Pick(float64(xxhash.Sum64String(j.id)>>11) / (1 << 53))
	}
	if j.route.Generation {
		j.tokens = platform.DecodeTokens(r.Header.Get)
	}
	return nil
}

// setDeadline sets when the caller's time ends. A caller that tells less time
// than the route allows has spent the difference on earlier attempts.
func (h *Handler) setDeadline(j *job) {
	left, told := platform.Milliseconds(j.request.Header.Get(platform.HeaderDeadline))
	if !told || left > j.route.Timeout {
		left = j.route.Timeout
	}
	j.due = j.start.Add(left)
	j.late = told && left < time.Duration(lateShare*float64(j.route.Timeout))
}

func readBody(w http.ResponseWriter, j *job, limits deployment.Limits) error {
	r := j.request
	if r.ContentLength == 0 {
		return nil
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return errBodyTooLong
	}
	var err error
	if r.ContentLength > 0 {
		j.body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, j.body)
	} else {
		j.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return errBodyTooLong
	case err != nil:
		return result.New(result.BadRequest, "read body: %v", err)
	default:
		return nil
	}
}

func hostOnly(host string) string {
	if !strings.Contains(host, ":") {
		return host
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// jitter spreads what is told to callers, so that they don't come back at once.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/2+1))
}
