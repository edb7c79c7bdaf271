//go:build !linux

package frontend

import (
	"net"
	"time"
)

// sinceLastData returns zero: the time of arrival is unknown.
func sinceLastData(*net.TCPConn) time.Duration { return 0 }
