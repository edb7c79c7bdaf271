package frontend

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// sinceLastData returns how long ago the newest data arrived at the socket, read or not; zero
// if that is unknown. The kernel counts it in ticks of a few milliseconds.
func sinceLastData(c *net.TCPConn) time.Duration {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var since time.Duration
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	}) // fails on a closed connection only
	return since
}
