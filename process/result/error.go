package result

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Ran states whether the request that an error refers to was executed.
type Ran int

// Values of Ran. The zero value makes no statement.
const (
	RanUnstated Ran = iota
	// NotRun guarantees that the request was not executed and will not be.
	NotRun
	// RanUnknown means that the request may have been executed. It will not be
	// executed again.
	RanUnknown
	// DidRun means that the request was executed.
	DidRun
)

// String returns the value as used in headers and logs, or "" for RanUnstated.
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

// Error is an error with a result code. It is immutable once returned.
type Error struct {
	Code Code
	// Ran is set on responses to callers.
	Ran Ran
	// RetryAfter is the time after which the caller may retry; zero means that a
	// retry does not help.
	RetryAfter time.Duration
	// File, Line, Column and Field locate invalid input. Line and Column count
	// from 1.
	File   string
	Line   int
	Column int
	Field  string
	// Detail describes the problem, Remedy how to fix it.
	Detail string
	Remedy string
}

// Error formats the code, its name, the location, the detail and the remedy on
// one line.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(strconv.Itoa(int(e.Code)))
	b.WriteString(" ")
	b.WriteString(e.Code.Name())
	if location := e.location(); location != "" {
		b.WriteString(" at " + location)
	}
	if e.Detail != "" {
		b.WriteString(": " + e.Detail)
	}
	if e.Remedy != "" {
		b.WriteString("; " + e.Remedy)
	}
	return b.String()
}

func (e *Error) location() string {
	location := e.File
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d:%d", location, e.Line, e.Column)
	}
	if e.Field != "" {
		location = strings.TrimPrefix(location+" field "+e.Field, " ")
	}
	return location
}

// New returns an error with a code and a formatted detail.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Refuse returns the error of a request that was not executed. A positive
// retryAfter is the time after which the caller may retry.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.Ran = NotRun
	e.RetryAfter = retryAfter
	return e
}

// From returns the Error in err's chain, or a new Error with code Internal and
// err's message. It returns nil for a nil err.
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

// CodeOf returns the code of err: OK for nil, Internal if err has no code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code
}
