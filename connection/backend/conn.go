package backend

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	address   string
	r         *bufio.Reader
	idleLimit time.Duration
	idleUntil time.Time
}

func newConn(raw net.Conn, address string) *conn {
	return &conn{
		Conn: raw, address: address, r: bufio.NewReaderSize(raw, bufferSize),
		idleLimit: defaultIdle - idleMargin,
	}
}

func (k *conn) close() { _ = k.Close() }

// quiet reports whether the connection is open and nothing waits to be read on
// it. Bytes there belong to no request.
func (k *conn) quiet() bool {
	if k.r.Buffered() > 0 {
		return false
	}
	sc, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// limitUnacked returns a dialer's control function that makes the system end
// connections whose bytes are not acknowledged.
func limitUnacked(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	if limit <= 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
		})
		return errors.CombineErrors(err, setErr)
	}
}
