package frontend

import (
	"context"

	"golang.org/x/sys/unix"
)

// unsent returns how many bytes of its response the caller of the request with the context has
// not acknowledged yet, or a negative number if that is unknown.
func unsent(ctx context.Context) int {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return -1
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return -1
	}
	queued := -1
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			queued = n
		}
	}) // fails on a closed connection only
	return queued
}
