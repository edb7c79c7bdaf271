package forward

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/result"
)

var errBodyTooLong = result.New(result.BadRequest, "the request body exceeds the size limit")

// httpStatus returns the status for a refusal or failure. 429 and 503 guarantee
// that the request was not run.
func httpStatus(err error) int {
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

// writeError answers the caller with the status and code of an error.
func (h *Handler) writeError(w http.ResponseWriter, cr *callerRequest, err error) {
	e := result.From(err)
	if e.Code == result.RegionUnavailable {
		h.metrics.regionRefused.Inc(1)
	}
	status := httpStatus(err)
	if status == http.StatusServiceUnavailable {
		cr.outcome = outcomeRefused
		delay := max(e.RetryAfter, time.Millisecond)
		if errors.Is(err, errPlannedReturn) {
			h.metrics.refusalsPlanned.Inc(1)
		} else {
			delay = jitter(delay)
		}
		w.Header().Set(platform.HeaderRetryAfter, platform.FormatSeconds(delay))
	} else {
		cr.outcome = outcomeFailed
	}
	if cr.id != "" {
		w.Header().Set(platform.HeaderRequestID, cr.id)
	}
	w.Header().Set("Content-Type", "application/json")
	writeWhole(w, status, fmt.Appendf(nil, `{"code":%d}`, int(e.Code)))
	h.logRequest(cr, status, err)
}

// writeWhole sends a complete answer at once: what the handler does next, such as logging the
// request, may take long on a busy VM.
func writeWhole(w http.ResponseWriter, status int, body []byte) {
	if header := w.Header(); header.Get("Content-Length") == "" {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller may be gone
	_ = http.NewResponseController(w).Flush()
}

// logRequest records the duration of a request and logs its result.
func (h *Handler) logRequest(cr *callerRequest, status int, err error) {
	took := h.clock.Since(cr.start)
	h.metrics.duration.Record(took)
	route := ""
	if cr.route != nil {
		route = cr.route.Name
	}
	account := ""
	if cr.account != nil {
		account = cr.account.Name
	}
	attrs := []any{
		"id", cr.id, "status", status, "route", route, "account", account, "service", cr.service,
		"prompt", cr.tokens.Prompt, "late", cr.late, "servers", cr.triedServers,
		"waited_ms", cr.queueTime.Milliseconds(), "first_ms", cr.firstByte.Milliseconds(), "took_ms", took.Milliseconds(),
	}
	attrs = cr.appendRegions(attrs)
	attrs = cr.appendTried(cr.weights.appendAttrs(attrs))
	if err != nil {
		e := result.From(err)
		h.log.Warn("request failed", append(attrs, "code", int(e.Code), "retry_after", e.RetryAfter, "reason", e.Detail)...)
		return
	}
	h.log.Info("request served", append(attrs, "events", cr.eventsSent)...)
}
