package stream

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// statusClientClosedRequest is the nonstandard status 499, introduced by
// nginx, for a request whose caller disconnected.
const statusClientClosedRequest = 499

// httpStatuses maps result codes to HTTP statuses; all other codes are internal
// errors.
var httpStatuses = map[result.Code]int{
	result.BadRequest:        http.StatusBadRequest,
	result.UnknownAccount:    http.StatusForbidden,
	result.Unauthenticated:   http.StatusForbidden,
	result.UnknownService:    http.StatusNotFound,
	result.NotFound:          http.StatusNotFound,
	result.QueueFull:         http.StatusServiceUnavailable,
	result.DeadlineTooShort:  http.StatusServiceUnavailable,
	result.DeadlineExceeded:  http.StatusGatewayTimeout,
	result.NoBackend:         http.StatusServiceUnavailable,
	result.RegionUnavailable: http.StatusServiceUnavailable,
	result.ZoneEvacuated:     http.StatusServiceUnavailable,
	result.MemoryLimit:       http.StatusServiceUnavailable,
	result.BackendFailed:     http.StatusBadGateway,
	result.AnswerCut:         http.StatusBadGateway,
	result.OutcomeUnknown:    http.StatusBadGateway,
	result.KeyReused:         http.StatusUnprocessableEntity,
	result.KeyExpired:        http.StatusGone,
	result.AnswerNotKept:     http.StatusGone,
	result.Draining:          http.StatusServiceUnavailable,
	result.VersionMismatch:   http.StatusServiceUnavailable,
	result.StaleLease:        http.StatusServiceUnavailable,
	result.AttemptTombstoned: http.StatusConflict,
	result.WrongIncarnation:  http.StatusConflict,
	result.InProgress:        http.StatusConflict,
	result.CutOff:            http.StatusServiceUnavailable,
	result.NoQuorum:          http.StatusServiceUnavailable,
	result.NotSynced:         http.StatusServiceUnavailable,
	result.RateExceeded:      http.StatusTooManyRequests,
	result.CallerGone:        statusClientClosedRequest,
}

// StatusOf returns the HTTP status of a response with the given result code.
func StatusOf(code result.Code) int {
	if status, ok := httpStatuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// errorBody is the JSON body of an error response: the usual error object with
// additional fields of this system.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code         int    `json:"code"`
	Type         string `json:"type"`
	Message      string `json:"message"`
	Ran          string `json:"ran,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// AppendErrorJSON appends the JSON encoding of an error as a single line.
func AppendErrorJSON(dst []byte, err *result.Error) []byte {
	body, _ := json.Marshal(errorBody{Error: errorFields{
		Code: int(err.Code), Type: err.Code.Name(), Message: err.Error(),
		Ran: err.Ran.String(), RetryAfterMs: err.RetryAfter.Milliseconds(),
	}})
	return append(dst, body...)
}

// WriteError writes an error response with the result code, and whether the
// request was run, in its headers and body.
func WriteError(w http.ResponseWriter, err *result.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(wire.HeaderCode, strconv.Itoa(int(err.Code)))
	if ran := err.Ran.String(); ran != "" {
		h.Set(wire.HeaderRan, ran)
	}
	if err.RetryAfter > 0 {
		h.Set(wire.HeaderRetryAfter, retrySeconds(err.RetryAfter))
	}
	w.WriteHeader(StatusOf(err.Code))
	_, _ = w.Write(AppendErrorJSON(nil, err))
}

func retrySeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// ReadErrorHeader reconstructs the error from the headers of a response of
// another process of the system. It returns nil if the response is not an
// error.
func ReadErrorHeader(resp *http.Response) *result.Error {
	code, err := strconv.Atoi(resp.Header.Get(wire.HeaderCode))
	if err != nil || code == 0 {
		return nil
	}
	e := result.New(result.Code(code), "%s", resp.Header.Get(wire.HeaderBackend))
	switch resp.Header.Get(wire.HeaderRan) {
	case result.NotRun.String():
		e.Ran = result.NotRun
	case result.RanUnknown.String():
		e.Ran = result.RanUnknown
	case result.DidRun.String():
		e.Ran = result.DidRun
	}
	return e
}
