package result

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Ran says whether the work that an error speaks of was run.
type Ran int

// Values of Ran. The zero value claims nothing.
const (
	RanUnstated Ran = iota
	// NotRun is a promise: the request was not run and will not be.
	NotRun
	// RanUnknown means that the request may have run; it is never run again.
	RanUnknown
	// DidRun means that the request was run.
	DidRun
)

// String returns the value as it appears in headers and logs.
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "not-run"
	case RanUnknown:
		return "outcome-unknown"
	case DidRun:
		return "ran"
	default:
		return ""
	}
}

// Error is a refusal or failure with its code. It is immutable once returned.
type Error struct {
	Code Code
	// Ran is set on answers to callers.
	Ran Ran
	// RetryAfter tells when coming back helps; zero means that it does not.
	RetryAfter time.Duration
	// File, Line, Column and Field locate bad input; Line and Column count from 1.
	File   string
	Line   int
	Column int
	Field  string
	// Detail says what was found; Remedy says what to do about it.
	Detail string
	Remedy string
}

// Error formats the code, the place and the detail on one line.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(strconv.Itoa(int(e.Code)))
	b.WriteString(" ")
	b.WriteString(e.Code.Name())
	if place := e.place(); place != "" {
		b.WriteString(" at " + place)
	}
	if e.Detail != "" {
		b.WriteString(": " + e.Detail)
	}
	if e.Remedy != "" {
		b.WriteString("; " + e.Remedy)
	}
	return b.String()
}

func (e *Error) place() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d:%d", place, e.Line, e.Column)
	}
	if e.Field != "" {
		place = strings.TrimPrefix(place+" field "+e.Field, " ")
	}
	return place
}

// New returns an error with a code and a formatted detail.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Refuse returns the error of a request that was not run. A positive
// retryAfter tells the caller when to come back.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.Ran = NotRun
	e.RetryAfter = retryAfter
	return e
}

// From finds the Error in err's chain, or wraps err under Internal.
// It returns nil for a nil err.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%s", err.Error())
}

// CodeOf returns the code of err: OK for nil, Internal when it bears none.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code
}
