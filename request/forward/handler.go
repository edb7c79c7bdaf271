package forward

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/process/intake"
	"github.com/waxwingpost/waxwingpost/process/observation"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/request/inflight"
	"github.com/waxwingpost/waxwingpost/request/quarantine"
)

// Config holds the settings of a handler.
type Config struct {
	// Zone is the entry's availability zone.
	Zone string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// OldVersionGrace is how long an older version of a model's weights may be used
	// after a newer one was published.
	OldVersionGrace time.Duration
	// RetryShare, RetryAllowance and RetryWindow bound the retries of all entries
	// together. In any span of RetryWindow, at most RetryShare of the requests plus
	// RetryAllowance may be retried.
	RetryShare     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// A cold server may get ColdOverrun times its rate plus ColdExtra requests within any
	// second, from all entries together. ColdOverrun is 0 if cold servers have no limit.
	ColdOverrun, ColdExtra float64
	// HedgeShare is the part of the requests of which a second copy may be sent to another
	// server if the first one is slow; 0 for none.
	HedgeShare float64
	// Observe tells the other entries what this one has learned; nil if there are none.
	Observe func(kind observation.Kind, key string, body []byte, at boottime.Instant, ttl time.Duration)
	// Streams accounts for the events that slow readers have not taken yet; nil means a
	// ledger of this handler alone with defaultStreamBytes. SlowReader is called when a stream
	// is ended for others; it may be nil.
	Streams    *intake.Ledger
	SlowReader func()
	// Responses accounts for the responses that are held until they end; nil means a ledger of
	// this handler alone with defaultResponseBytes. Unfinished is called when a response is
	// ended for others; it may be nil.
	Responses  *intake.Ledger
	Unfinished func()
	// Unsent returns how many bytes the caller of the request with the context has not
	// acknowledged, or a negative number if that is unknown; nil if it always is.
	Unsent func(context.Context) int
	// Waited returns how long ago the request with the context arrived at the VM; nil if that
	// is unknown.
	Waited func(context.Context) time.Duration
}

// Handler serves the requests of callers. Safe for concurrent use.
//
// Lock order: scheduler.mu and suspects.mu are leaves; no other lock is taken while one of
// them is held, except that of Config.Observe under suspects.mu.
type Handler struct {
	cfg       Config
	client    *backend.Client
	clock     clockwork.Clock
	ageClock  boottime.Clock
	log       *slog.Logger
	scheduler *scheduler
	// suspects knows the requests and the parts of prompts that crash servers.
	suspects *suspects
	// current is the view that requests are resolved by. The scheduler has it, or a
	// newer one.
	current       atomic.Pointer[feed.View]
	inflight      inflight.Counter
	keepAlivesOff atomic.Bool
	metrics       metrics
}

type metrics struct {
	requests, retried, panics, firstEventLate, withdrawn, brokenOff tally.Counter
	limitsChanged, turnedAway, reopened, leaving, weightsUnexpected tally.Counter
	regionRefused, evacuated, movedFromSlow, cold, coldWithheld     tally.Counter
	loadsMalformed, refusalsPlanned, returned, hedged, hedgesWon    tally.Counter
	outcomes                                                        [outcomeCount]tally.Counter
	expiryWithheld                                                  tally.Counter
	duration, firstByte                                             tally.Timer
	// usableAtFirst is for how long the weights were usable when the first event came.
	usableAtFirst tally.Histogram
}

// New returns a handler that refuses all requests until Update. ageClock must be the
// clock of the views' versions.
func New(cfg Config, client *backend.Client, clock clockwork.Clock, ageClock boottime.Clock, log *slog.Logger, scope tally.Scope) *Handler {
	if cfg.Observe == nil {
		cfg.Observe = func(observation.Kind, string, []byte, boottime.Instant, time.Duration) {}
	}
	if cfg.Streams == nil {
		cfg.Streams = intake.NewLedger(defaultStreamBytes, 0)
	}
	if cfg.Responses == nil {
		cfg.Responses = intake.NewLedger(defaultResponseBytes, 0)
	}
	if cfg.Unfinished == nil {
		cfg.Unfinished = func() {}
	}
	if cfg.SlowReader == nil {
		cfg.SlowReader = func() {}
	}
	if cfg.Unsent == nil {
		cfg.Unsent = func(context.Context) int { return -1 }
	}
	if cfg.Waited == nil {
		cfg.Waited = func(context.Context) time.Duration { return 0 }
	}
	scope = scope.SubScope("requests")
	h := &Handler{
		cfg: cfg, client: client, clock: clock, ageClock: ageClock, log: log,
		scheduler: newScheduler(cfg, clock, ageClock), suspects: newSuspects(cfg, ageClock, log, scope),
		metrics: metrics{
			requests: scope.Counter("received"), retried: scope.Counter("sent_again"), panics: scope.Counter("panics"),
			firstEventLate: scope.Counter("first_event_after_expiry"), withdrawn: scope.Counter("withdrawn"), brokenOff: scope.Counter("broken_off"),
			limitsChanged: scope.Counter("server_limits_changed"), turnedAway: scope.Counter("turned_away"), reopened: scope.Counter("servers_reopened"),
			leaving: scope.Counter("servers_leaving"), weightsUnexpected: scope.Counter("weights_unexpected"),
			regionRefused: scope.Counter("refused_for_region"), evacuated: scope.Counter("withheld_by_evacuation"),
			movedFromSlow: scope.Counter("moved_from_slow"), cold: scope.Counter("servers_cold"), coldWithheld: scope.Counter("withheld_from_cold_servers"),
			expiryWithheld: scope.Counter("withheld_by_expiry"),
			loadsMalformed: scope.Counter("loads_malformed"), refusalsPlanned: scope.Counter("refusals_planned"), returned: scope.Counter("returned"),
			hedged: scope.Counter("hedged"), hedgesWon: scope.Counter("hedges_won"), outcomes: outcomeCounters(scope),
			duration: scope.Timer("duration"), firstByte: scope.Timer("first_byte"), usableAtFirst: scope.Histogram("usable_at_first_event", usableBuckets),
		},
	}
	h.current.Store(&feed.View{})
	return h
}

// Update puts a new view in force. It must not be called concurrently.
func (h *Handler) Update(v *feed.View) {
	h.scheduler.update(v)
	h.current.Store(v)
}

// View returns the view in force.
func (h *Handler) View() *feed.View { return h.current.Load() }

// SampleDemand returns the demand for each service at this entry. It is called every half
// second.
func (h *Handler) SampleDemand() wire.Demand { return h.scheduler.sampleDemand() }

// DispatchWaiting assigns slots to queued requests. It must be called periodically,
// because the backoff of a server ends without any event.
func (h *Handler) DispatchWaiting() {
	for _, c := range h.scheduler.dispatchWaiting() {
		h.metrics.reopened.Inc(1)
		h.log.Info("server takes requests again", "server", c.Server, "since_end_of_time", c.Ended)
	}
	h.logCold()
}

// Dump returns the handler's part of the state dump.
func (h *Handler) Dump() any { return h.scheduler.dump() }

// DisableKeepAlives disables keep-alive: callers must open another connection for their
// next request.
func (h *Handler) DisableKeepAlives() { h.keepAlivesOff.Store(true) }

// StartDrain refuses new requests.
func (h *Handler) StartDrain() { h.inflight.StartDrain() }

// EndRequests answers the requests in progress whose response has not begun with an error,
// shortly before the process exits. It must be called at most once, after StartDrain.
func (h *Handler) EndRequests() { close(h.scheduler.ending) }

// ending reports whether EndRequests was called.
func (h *Handler) ending() bool {
	select {
	case <-h.scheduler.ending:
		return true
	default:
		return false
	}
}

// Drain refuses new requests and waits until none is in progress or ctx ends.
func (h *Handler) Drain(ctx context.Context) error {
	h.inflight.StartDrain()
	return h.inflight.Drain(ctx)
}

// callerRequest is the state of one request of a caller.
type callerRequest struct {
	id    string
	start time.Time
	// waited is for how long the request had waited in the socket before start.
	waited   time.Duration
	deadline time.Time
	request  *http.Request
	body     []byte
	route    *deployment.Route
	account  *deployment.Account
	service  string
	// config is the configuration that the request was resolved by, and regions those in
	// which it may be served by that; nil means any.
	config  *deployment.Config
	regions []string
	tokens  platform.Tokens
	// parts lists the IDs of the shared parts of the prompt. candidates holds the request
	// and these parts for the quarantine.
	parts      []string
	candidates []quarantine.Candidate
	// late is set if the caller has spent part of the route's timeout on earlier
	// attempts.
	late bool
	// lastSent is when the caller received something last, at first the start. patience
	// is the gap after which the caller abandons a stream; zero for other requests.
	lastSent time.Time
	patience time.Duration
	// triedServers lists the IDs of servers that the request was sent to.
	triedServers []string
	// tried describes these servers for the log.
	tried []triedServer
	// queueTime is the total time spent in the queue.
	queueTime time.Duration
	// firstByte is the time to the first byte of the response.
	firstByte  time.Duration
	eventsSent int
	outcome    outcome
	// weights is that of the last attempt, nil before it.
	weights *weightsUse
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.metrics.requests.Inc(1)
	if h.keepAlivesOff.Load() {
		w.Header().Set("Connection", "close")
	}
	waited := h.cfg.Waited(r.Context())
	cr := &callerRequest{id: r.Header.Get(platform.HeaderRequestID), start: h.clock.Now(), waited: waited, request: r}
	defer h.countOutcome(cr)
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTimeout)) // until readBody sets its own
	}
	if h.inflight.Admit(0) == inflight.Draining {
		h.writeError(w, cr, drainingError())
		return
	}
	defer h.inflight.Done()
	if err := h.resolve(w, cr); err != nil {
		h.writeError(w, cr, err)
		return
	}
	if cr.route.Kind == deployment.Stream {
		h.serveStream(w, cr)
		return
	}
	h.servePlain(w, cr)
}

const (
	// lateTimeoutFraction is the fraction of the route's timeout below which the time
	// until a caller's deadline indicates earlier attempts: the platform's callers
	// start with 0.85 of the timeout or more.
	lateTimeoutFraction = 0.82
	// defaultBodyBytes bounds request bodies if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// refusedBodyTimeout bounds the wait for the body of a request that is refused
	// before it is read: net/http reads up to 256 KiB of it before the response.
	refusedBodyTimeout = 2 * time.Second
	// drainingRetryAfter is the retry delay sent to callers during a shutdown: other
	// entries serve them at once.
	drainingRetryAfter = 100 * time.Millisecond
	// noConfigRetryAfter is the retry delay sent to callers before the first
	// configuration is received.
	noConfigRetryAfter = 300 * time.Millisecond
)

// drainingError returns the error of a request that arrives too late in a shutdown.
func drainingError() error {
	return result.Refuse(result.Draining, drainingRetryAfter, "the process is shutting down")
}

// resolve determines the route, account, service and deadline of a request and
// reads its body.
func (h *Handler) resolve(w http.ResponseWriter, cr *callerRequest) error {
	config := h.View().Config
	if config == nil {
		return result.Refuse(result.NoQuorum, noConfigRetryAfter, "no configuration received yet")
	}
	if cr.id == "" {
		return result.New(result.BadRequest, "the request ID header is missing")
	}
	r := cr.request
	path, _, _ := strings.Cut(r.RequestURI, "?")
	cr.route = config.Route(stripPort(r.Host), path)
	if cr.route == nil {
		return result.New(result.UnknownService, "no route for host %q and path %q", r.Host, path)
	}
	if !cr.route.Public && len(config.Accounts) > 0 {
		cr.account = config.Account(platform.BearerToken(r.Header.Get(platform.HeaderAuthorization)))
		if cr.account == nil {
			return result.New(result.UnknownAccount, "no account has this key")
		}
	}
	cr.config, cr.regions = config, allowedRegions(cr.route, cr.account)
	h.setDeadline(cr)
	if err := h.readBody(w, cr, config.Limits); err != nil {
		return err
	}
	if h.inflight.Draining() {
		// The body ended after the drain began: the request could not end before the exit.
		return drainingError()
	}
	if h.clock.Until(cr.deadline) <= 2*responseMargin {
		// Sending it would fail, which would count as the server's failure.
		return result.Refuse(result.DeadlineExceeded, 0, "the deadline passed before the request was sent")
	}
	cr.service = cr.route.Shares[0].Service
	if len(cr.route.Shares) > 1 {
		cr.service = cr.route.PickService(float64(xxhash.Sum64String(cr.id)>>11) / (1 << 53))
	}
	if cr.route.Generation {
		cr.tokens = platform.DecodeTokens(r.Header.Get)
		cr.parts = platform.SharedParts(r.Header.Get(platform.HeaderPrefix))
	}
	cr.setCandidates()
	return h.suspects.refused(cr)
}

// setDeadline sets the deadline: the caller's, or the route's timeout if that is
// shorter, counted from the arrival of the request. A request is late if less than
// lateTimeoutFraction of the route's timeout is left: its caller has spent the rest on
// earlier attempts.
func (h *Handler) setDeadline(cr *callerRequest) {
	remaining, hasDeadline := platform.ParseMilliseconds(cr.request.Header.Get(platform.HeaderDeadline))
	if !hasDeadline || remaining > cr.route.Timeout {
		remaining = cr.route.Timeout
	}
	cr.deadline = cr.start.Add(remaining - cr.waited)
	cr.late = hasDeadline && remaining < time.Duration(lateTimeoutFraction*float64(cr.route.Timeout))
}

// readBody reads the request's body until its deadline.
func (h *Handler) readBody(w http.ResponseWriter, cr *callerRequest, limits deployment.Limits) error {
	if cr.request.ContentLength == 0 {
		return nil
	}
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(h.clock.Until(cr.deadline) - responseMargin)) // not supported by test recorders
	err := cr.readBody(w, limits.BodyBytes)
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		// A deadline that passes later would end the request's context.
		_ = conn.SetReadDeadline(time.Time{})
		return nil
	case errors.Is(err, errBodyTooLong), errors.Is(err, intake.ErrTooLong), errors.As(err, &tooLong):
		return errBodyTooLong
	case result.CodeOf(err) == result.MemoryLimit:
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.Refuse(result.DeadlineExceeded, 0, "the deadline passed before the request body was complete")
	default:
		return result.New(result.BadRequest, "read request body: %v", err)
	}
}

// readBody reads the body, which may have limit bytes; zero means the default.
func (cr *callerRequest) readBody(w http.ResponseWriter, limit int64) error {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	r := cr.request
	if r.ContentLength > limit {
		return errBodyTooLong
	}
	body, err := intake.ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	cr.body = body
	return err
}

// stripPort returns a host without its port.
func stripPort(host string) string {
	if !strings.Contains(host, ":") {
		return host
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// jitter adds up to half of a retry delay at random, so that refused callers don't
// retry at the same time.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/2+1))
}
