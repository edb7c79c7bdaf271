// Package telemetry provides the observability of a process: log, metrics, health
// checks, profiles and the state dump.
package telemetry

import (
	"io"
	"log/slog"
	"time"
)

// NewLogger returns a logger that writes one line of key=value pairs per event.
// Level is a slog level name: debug, info, warn or error.
func NewLogger(w io.Writer, level, process string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, err
	}
	h := slog.NewTextHandler(w, &slog.HandlerOptions{Level: l, ReplaceAttr: formatAttr})
	return slog.New(h).With("process", process), nil
}

// formatAttr formats times in UTC and errors as their message only, because the
// error library includes the stack when slog formats an error in full.
func formatAttr(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.TimeKey {
		a.Value = slog.StringValue(a.Value.Time().UTC().Format(time.RFC3339Nano))
	}
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
