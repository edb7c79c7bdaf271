package backend

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	address string
	r       *bufio.Reader
	// limit bounds the bytes read from the connection into r.
	limit limitReader
	// idleTimeout is how long the connection may stay idle, and idleUntil the
	// time at which that ends.
	idleTimeout time.Duration
	idleUntil   time.Time
	// refusedIDs holds the IDs of the requests that were answered with a status of 300 or
	// above on this connection.
	refusedIDs []string
}

// maxRefused is how many refused requests a connection is reused after.
const maxRefused = 64

func newConn(raw net.Conn, address string) *conn {
	k := &conn{
		Conn: raw, address: address, limit: limitReader{r: raw, remaining: unlimited},
		idleTimeout: defaultIdleTimeout - idleMargin,
	}
	k.r = bufio.NewReaderSize(&k.limit, bufferSize)
	return k
}

// limitReader fails once more than a number of bytes or lines was read.
type limitReader struct {
	r io.Reader
	// remaining is the number of bytes that may still be read, or unlimited.
	remaining int
	// lines is the number of lines after which no more bytes are read.
	lines int
}

const unlimited = -1

var errHeadTooLong = errors.New("response head too long")

func (l *limitReader) Read(p []byte) (int, error) {
	if l.remaining == unlimited {
		return l.r.Read(p)
	}
	if l.reached() {
		return 0, errHeadTooLong
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.lines -= bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

// reached reports whether nothing more may be read.
func (l *limitReader) reached() bool { return l.remaining == 0 || l.remaining > 0 && l.lines < 0 }

func (k *conn) close() { _ = k.Close() }

// mayRefuseAgain reports whether a request with the ID has been refused on this connection:
// a second copy of that response could not be told from the one to the same request sent
// again.
func (k *conn) mayRefuseAgain(id string) bool { return id != "" && slices.Contains(k.refusedIDs, id) }

// reset closes the connection and drops what the operating system has not sent yet,
// so that the server can't receive the rest of a canceled request later.
func (k *conn) reset() {
	if tcp, ok := k.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	k.close()
}

// reusable reports whether the connection is open with no unread bytes. Unread
// bytes belong to no request, so the connection can't be trusted.
func (k *conn) reusable() bool {
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
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package
// syscall does not define.
const tcpUserTimeout = 0x12

// userTimeoutControl returns a net.Dialer control function that makes the
// operating system close a connection whose sent bytes stay unacknowledged for
// longer than limit.
func userTimeoutControl(limit time.Duration) func(network, address string, c syscall.RawConn) error {
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
