package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/backend"
	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/request/placement"
	"github.com/waxwingpost/waxwingpost/request/stream"
)

// answerMargin is how long before the caller's time ends its final answer is
// given: a scheduling delay of a busy entry.
const answerMargin = 25 * time.Millisecond

// verdict is what one sending of a request came to.
type verdict uint8

const (
	// answered: the server's answer is to be passed on.
	answered verdict = iota
	// notRun: the server did not run the request and will not.
	notRun
	// unknown: the server may have run it, and there is no answer.
	unknown
	// failing: the server ran it and answered with a failure.
	failing
)

// try is one sending of a request.
type try struct {
	lease   *placement.Lease
	ex      *backend.Exchange
	verdict verdict
	outcome placement.Outcome
	// unsent is set where no byte of the request was sent.
	unsent bool
	err    error
}

// send sends the request to the server of the lease and reads the answer's
// head. resumeAt, where not empty, is the id of the last event that the caller
// has.
func (h *Handler) send(ctx context.Context, j *job, l *placement.Lease, headBy time.Time, resumeAt string) *try {
	t := &try{lease: l}
	j.tried = append(j.tried, l.Server.ID)
	t.ex, t.err = h.client.Do(ctx, l.Server.Address, &backend.Request{
		Method: j.request.Method, Target: j.request.RequestURI, Host: j.request.Host,
		Header: h.header(j, l, resumeAt), Body: j.body,
		ID: j.id, EchoHeader: platform.HeaderRequestID, HeadBy: headBy, SendBy: l.SendBy(),
	})
	if t.err != nil {
		t.judgeFailure(ctx)
		return t
	}
	t.judge(j.route.Kind == deployment.Stream)
	return t
}

func (t *try) judgeFailure(ctx context.Context) {
	t.outcome, t.verdict = placement.Failed, unknown
	var failure *backend.Error
	if errors.As(t.err, &failure) {
		if failure.Sent == backend.NotSent {
			t.verdict, t.unsent = notRun, true
		}
		if failure.Timeout() && !t.unsent {
			t.outcome = placement.Stalled
		}
	}
	if ctx.Err() != nil {
		t.outcome = placement.Canceled
	}
}

// judge finds out what an answer's head says of the request.
func (t *try) judge(streams bool) {
	ex := t.ex
	signed := ex.Header.Get(platform.HeaderSignature) != ""
	switch {
	case ex.Status == http.StatusMisdirectedRequest:
		t.verdict, t.outcome = notRun, placement.WeightsMissing
	case ex.Header.Get(platform.HeaderNotRun) != "":
		t.verdict, t.outcome = notRun, placement.Refused
	case ex.Status < 300 && signed && ex.Header.Get("Content-Encoding") == "" && (!streams || stream.IsEvents(ex.Header)):
		t.verdict, t.outcome = answered, placement.Served
	case ex.Status < 300 || !signed:
		t.verdict, t.outcome = unknown, placement.Failed
		t.err = errors.Newf("status %d, signed %v, type %.40q", ex.Status, signed, ex.Header.Get("Content-Type"))
	case ex.Status >= 500:
		t.verdict, t.outcome = failing, placement.Failed
	default:
		t.verdict, t.outcome = answered, placement.Served
	}
}

// own lists the headers that a caller's are not passed on for: the system sets
// them itself, or they concern only one connection or the system.
var own = []string{
	platform.HeaderDeadline, platform.HeaderAuthorization, platform.HeaderAccount, platform.HeaderExpectServer,
	platform.HeaderExpectVersion, platform.HeaderPriority, platform.HeaderPath, "Content-Length", "Expect", "Host",
}

// header returns the headers for a server.
func (h *Handler) header(j *job, l *placement.Lease, resumeAt string) http.Header {
	out := make(http.Header, len(j.request.Header)+4)
	stream.CopyHeader(out, j.request.Header)
	for _, name := range own {
		delete(out, name)
	}
	out[platform.HeaderDeadline] = []string{platform.FormatMilliseconds(j.due.Sub(h.clock.Now()))}
	out[platform.HeaderExpectServer] = []string{l.Server.ID}
	if j.account != nil {
		out[platform.HeaderAccount] = []string{j.account.Name}
	}
	if resumeAt != "" {
		out[platform.HeaderLastEvent] = []string{resumeAt}
	}
	return out
}

// answerHeader copies the headers of a server's answer.
func answerHeader(dst http.Header, ex *backend.Exchange) {
	stream.CopyHeader(dst, ex.Header)
	delete(dst, platform.HeaderLoad)
	if ex.Length >= 0 {
		dst["Content-Length"] = []string{strconv.FormatInt(ex.Length, 10)}
	}
}

// close ends a try and gives its place back.
func (h *Handler) close(j *job, t *try) {
	if t.ex != nil {
		t.ex.Close()
	}
	h.desk.done(j.service, t.lease, t.outcome)
}

// mayTryAgain reports whether the request may be sent to another server after t,
// and takes the repeat out of the budget.
func (h *Handler) mayTryAgain(j *job, t *try, ran int, repeatable bool) bool {
	if t.verdict == answered || h.clock.Until(j.due) < 2*answerMargin || len(j.tried) >= maxTries {
		return false
	}
	if t.verdict != notRun && (!repeatable || ran >= max(j.route.MaxServers, 1)) {
		return false
	}
	if !t.unsent && !h.desk.repeat(j.service) {
		return false
	}
	h.metrics.retried.Inc(1)
	h.log.Info("request sent again", "id", j.id, "service", j.service, "after", t.lease.Server.ID,
		"verdict", t.verdict.String(), "error", t.err, "tries", len(j.tried))
	return true
}

// maxTries bounds the servers that one request is offered to, those that
// refuse it included.
const maxTries = 4

// String returns the verdict's name for logs.
func (v verdict) String() string {
	return [...]string{"answered", "not-run", "unknown", "failed"}[v]
}
