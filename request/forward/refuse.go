package forward

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/result"
)

var errBodyTooLong = result.New(result.BadRequest, "the body is longer than the limit")

// statusOf returns the status for a refusal or failure. 429 and 503 promise that
// the request was not run.
func statusOf(err error) int {
	e := result.From(err)
	switch {
	case errors.Is(err, errBodyTooLong):
		return http.StatusRequestEntityTooLarge
	case e.Code == result.BadRequest:
		return http.StatusBadRequest
	case e.Code == result.UnknownAccount:
		return http.StatusUnauthorized
	case e.Code == result.UnknownService:
		return http.StatusNotFound
	case e.Ran == result.NotRun:
		return http.StatusServiceUnavailable
	case e.Code == result.DeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// refuse gives the caller its final answer.
func (h *Handler) refuse(w http.ResponseWriter, j *job, err error) {
	e := result.From(err)
	status := statusOf(err)
	if status == http.StatusServiceUnavailable {
		h.metrics.refused.Inc(1)
		w.Header().Set(platform.HeaderRetryAfter, platform.FormatSeconds(jitter(max(e.RetryAfter, time.Millisecond))))
	} else {
		h.metrics.failed.Inc(1)
	}
	if j.id != "" {
		w.Header().Set(platform.HeaderRequestID, j.id)
	}
	body := fmt.Appendf(nil, `{"code":%d}`, int(e.Code))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller may be gone
	h.record(j, status, err)
}

// record writes the line that explains a request.
func (h *Handler) record(j *job, status int, err error) {
	took := h.clock.Since(j.start)
	h.metrics.took.Record(took)
	route := ""
	if j.route != nil {
		route = j.route.Name
	}
	account := ""
	if j.account != nil {
		account = j.account.Name
	}
	attrs := []any{
		"id", j.id, "status", status, "route", route, "account", account, "service", j.service,
		"prompt", j.tokens.Prompt, "late", j.late, "servers", j.tried,
		"waited_ms", j.waited.Milliseconds(), "first_ms", j.first.Milliseconds(), "took_ms", took.Milliseconds(),
	}
	if err != nil {
		e := result.From(err)
		h.log.Warn("request failed", append(attrs, "code", int(e.Code), "retry_after", e.RetryAfter, "reason", e.Detail)...)
		return
	}
	h.log.Info("request served", append(attrs, "events", j.events)...)
}
