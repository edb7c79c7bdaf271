// Package obs holds what makes a process observable: its log, its metrics and
// the dump of its state.
package obs

import (
	"io"
	"log/slog"
	"time"
)

// NewLogger returns a logger that writes one line of key=value pairs an
// event. Level is a slog level name: debug, info, warn or error.
func NewLogger(w io.Writer, level, process string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, err
	}
	h := slog.NewTextHandler(w, &slog.HandlerOptions{Level: l, ReplaceAttr: plainAttr})
	return slog.New(h).With("process", process), nil
}

// plainAttr writes times in UTC and errors as one line: the errors of the
// project's library print their stack where they are formatted in full.
func plainAttr(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.TimeKey {
		a.Value = slog.StringValue(a.Value.Time().UTC().Format(time.RFC3339Nano))
	}
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
