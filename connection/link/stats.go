package link

import "sync/atomic"

// Stats counts messages and payload bytes over any number of links. The zero
// value is ready to use; all methods are safe for concurrent use.
type Stats struct {
	messagesOut atomic.Int64
	messagesIn  atomic.Int64
	bytesOut    atomic.Int64
	bytesIn     atomic.Int64
	panics      atomic.Int64
}

// Counts is a snapshot of Stats.
type Counts struct {
	MessagesOut int64 `json:"messages_out"`
	MessagesIn  int64 `json:"messages_in"`
	BytesOut    int64 `json:"bytes_out"`
	BytesIn     int64 `json:"bytes_in"`
	// Panics is the number of messages whose handler panicked.
	Panics int64 `json:"panics"`
}

// Read returns the current counts.
func (s *Stats) Read() Counts {
	return Counts{
		MessagesOut: s.messagesOut.Load(),
		MessagesIn:  s.messagesIn.Load(),
		BytesOut:    s.bytesOut.Load(),
		BytesIn:     s.bytesIn.Load(),
		Panics:      s.panics.Load(),
	}
}

func (s *Stats) countSent(n int) {
	s.messagesOut.Add(1)
	s.bytesOut.Add(int64(n))
}

func (s *Stats) countReceived(n int) {
	s.messagesIn.Add(1)
	s.bytesIn.Add(int64(n))
}
