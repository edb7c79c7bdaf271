package forward

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/request/placement"
	"github.com/waxwingpost/waxwingpost/request/quarantine"
)

// attempt is one attempt to run a request on a server. A goroutine sends the request
// and reads the response, so that the handler can wait for other things meanwhile.
type attempt struct {
	lease *placement.Lease
	// number is the attempt's index in callerRequest.tried.
	number int
	cancel context.CancelFunc
	// parts delivers the progress of the response and is closed at the end of the
	// attempt.
	parts chan part

	// ex is set once the first part was received.
	ex *backend.Exchange

	// The fields below are set once parts is closed.

	result  attemptResult
	outcome placement.Outcome
	// notSent is set if no byte of the request was sent.
	notSent bool
	err     error
	// refusal is the error of the server's address if it was found to refuse connections
	// after the response.
	refusal error
	// events is the number of events that the server has sent.
	events int
	// weights holds the versions of weights that the response names.
	weights versionTrace
	// use is what is known of the expiry of the server's weights.
	use weightsUse
	// body is the complete body of a short response that is not a stream.
	body []byte
	// trials lists the suspected parts that the request tries.
	trials []quarantine.Part
	// proven is set once the server has proven the parts of the prompt sound.
	proven bool
	// panicked is the value and stack of a panic of the goroutine.
	panicked error
}

// part is some progress of a response: its header, bytes of its body or events.
type part struct {
	// events holds complete events, count of them with an ID. lastID is the ID of
	// the last one.
	events []byte
	count  int
	lastID int64
}

// start sends the request to the server of the lease. events is the position in the
// caller's stream, nil if the response is not a stream. The caller must receive all
// parts or call giveUp, and then finishAttempt.
func (h *Handler) start(cr *callerRequest, l *placement.Lease, events *eventReader) *attempt {
	ctx, cancel := context.WithCancel(cr.request.Context())
	a := &attempt{lease: l, number: len(cr.tried), cancel: cancel, parts: make(chan part), trials: h.suspects.startTrial(cr)}
	cr.triedServers = append(cr.triedServers, l.Server.ID)
	cr.tried = append(cr.tried, newTriedServer(cr, l))
	a.use.granted = h.ageClock.Now().Add(-h.clock.Since(l.Granted()))
	cr.weights = &a.use
	req := &backend.Request{
		Method: cr.request.Method, Target: cr.request.RequestURI, Host: cr.request.Host,
		Header: h.serverHeader(cr, l, events.position()), Body: cr.body,
		ID: cr.id, EchoHeader: platform.HeaderRequestID, HeadDeadline: cr.deadline.Add(-responseMargin), SendDeadline: l.SendDeadline(),
		Times: &a.use.times,
		MaySend: func() bool {
			return h.scheduler.wantsRequest(l) && h.scheduler.mayServe(cr, l) && !h.evacuatedSince(cr, l) && h.coldMayGet(cr, l) && !h.expiresSince(cr, l)
		},
	}
	go a.run(ctx, h, cr.service, req, cr.route.Kind == deployment.Stream, events)
	return a
}

// run sends the request, delivers the parts of the response and sets the result.
func (a *attempt) run(ctx context.Context, h *Handler, service string, req *backend.Request, streams bool, events *eventReader) {
	defer close(a.parts)
	defer func() {
		if cause := recover(); cause != nil {
			a.panicked = fmt.Errorf("%v\n%s", cause, debug.Stack())
			a.result, a.outcome = resultUnknown, placement.Canceled
		}
	}()
	a.ex, a.err = h.client.Do(ctx, a.lease.Server.Address, req)
	if a.err != nil {
		a.classifyError(ctx)
		return
	}
	a.weights.recordHeader(a.ex.Header.Get(platform.HeaderWeightsVersion))
	h.recordLimit(a)
	h.recordLeaving(a)
	h.recordTurnedAway(service, a)
	h.recordLoad(service, a)
	a.classifyResponse(streams)
	if a.result != resultAnswered && a.result != resultFailed {
		return
	}
	err := a.deliver(ctx, part{})
	switch {
	case err != nil:
	case streams && a.streaming():
		err = a.readEvents(ctx, h.ageClock, events)
	default:
		err = a.readBody(ctx)
	}
	if err == nil && !a.ex.Framed() {
		err = a.checkUnframedEnd(ctx, h.client)
	}
	if err != nil {
		a.err, a.result, a.outcome = err, resultUnknown, errorOutcome(ctx, err)
	}
}

// deliver passes a part to the handler.
func (a *attempt) deliver(ctx context.Context, p part) error {
	select {
	case a.parts <- p:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// checkUnframedEnd returns an error if the server has ended. A response without framing
// ends with its connection, which the end of the server closes as well.
func (a *attempt) checkUnframedEnd(ctx context.Context, client *backend.Client) error {
	a.refusal = checkRefused(ctx, client, a.lease.Server.Address)
	if a.refusal == nil {
		return nil
	}
	return errors.CombineErrors(io.ErrUnexpectedEOF, a.refusal)
}

// streaming reports whether the response to a request for a stream is one, rather than an
// error.
func (a *attempt) streaming() bool { return a.result == resultAnswered && a.ex.Status < 300 }

// readEvents delivers the events of a stream until its end. A response without framing
// that ends before its first event is incomplete, and so is the rest of a stream without an
// event.
func (a *attempt) readEvents(ctx context.Context, clock boottime.Clock, events *eventReader) error {
	events.reset(a.ex)
	events.weights = &a.weights
	for {
		data, count, err := events.next()
		a.events += count
		if len(data) > 0 {
			a.use.receive(clock)
			if err := a.deliver(ctx, part{events: data, count: count, lastID: events.lastID}); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF && events.resumed && a.events == 0: //nolint:errorlint // next returns io.EOF itself
			return errNoEvents
		case err == io.EOF && (a.ex.Framed() || events.hasLastID): //nolint:errorlint // next returns io.EOF itself
			return nil
		case err == io.EOF: //nolint:errorlint // next returns io.EOF itself
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

var errBodyOverLimit = errors.New("response of unknown length exceeds the size limit")

// readBody reads a short body completely. It leaves a long one of known length to
// the handler, and fails for a long one of unknown length.
func (a *attempt) readBody(ctx context.Context) error {
	if a.long() {
		return nil
	}
	// The server may declare a body and not send it.
	body := make([]byte, 0, min(max(a.ex.Length, minBodyBuffer), maxFirstBuffer))
	for {
		if len(body) == cap(body) {
			body = slices.Grow(body, len(body))
		}
		n, err := a.ex.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF: //nolint:errorlint // Read returns io.EOF itself
			a.body = body
			return nil
		case err != nil:
			return err
		case len(body) > maxBufferedBody:
			return errBodyOverLimit
		}
		if err := a.deliver(ctx, part{}); err != nil {
			return err
		}
	}
}

// long reports whether the body is of known length and too long to be buffered.
func (a *attempt) long() bool { return a.ex.Length > maxBufferedBody }

// giveUp cancels an attempt that has not ended and waits for its end.
func (a *attempt) giveUp(err error, o placement.Outcome) {
	a.cancel()
	for range a.parts {
		// These events are sent again by the next server.
	}
	if a.result != resultNotRun {
		a.err, a.result, a.outcome = err, resultUnknown, o
	}
}

// finishAttempt closes the exchange and releases the slot. The attempt must have
// ended.
func (h *Handler) finishAttempt(cr *callerRequest, a *attempt) {
	if a.ex != nil {
		a.ex.Close()
	}
	a.cancel()
	h.scheduler.release(cr.service, a.lease, a.outcome)
	h.recordWeightsUse(cr, a)
	h.recordWeights(cr, a)
	if h.suspects.recordEnd(cr, a) {
		go h.checkEnded(a.lease.Incarnation, a.lease.Server.Address)
	}
	if a.brokenOff() {
		h.recordBrokenOff(cr, a)
	}
	if a.panicked != nil {
		panic(a.panicked)
	}
}

// brokenOff reports whether the server closed or reset the connection before its
// response was complete.
func (a *attempt) brokenOff() bool {
	return a.result == resultUnknown && a.outcome == placement.Failed &&
		(errors.Is(a.err, io.EOF) || errors.Is(a.err, io.ErrUnexpectedEOF) || errors.Is(a.err, syscall.ECONNRESET) || errors.Is(a.err, syscall.EPIPE))
}

// recordBrokenOff counts and logs an attempt that its server broke off.
func (h *Handler) recordBrokenOff(cr *callerRequest, a *attempt) {
	h.metrics.brokenOff.Inc(1)
	h.log.Info("server broke off a request", "id", cr.id, "server", a.lease.Server.ID, "address", a.lease.Server.Address,
		"service", cr.service, "request", cr.digest(), "parts", cr.parts, "attempt_events", a.events, "tries", len(cr.triedServers), "error", a.err)
}

// releaseUnused gives back a slot to which nothing was sent; nil is none.
func (h *Handler) releaseUnused(cr *callerRequest, l *placement.Lease) {
	if l != nil {
		h.scheduler.release(cr.service, l, placement.Unused)
	}
}
