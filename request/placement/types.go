// Package placement decides, for the requests of one entry to one service,
// which server runs each of them, which wait, and which are refused at once.
//
// It answers overload: more requests than the servers can run in time. Each
// server is given no more requests than it can work on at once, what waits
// does so at the entry where its order can still be changed, and what could
// not be answered in time is refused while its caller can still come back.
// Entries that share servers divide their slots by what each is asked for.
//
// The package has no network and no clock: callers pass the time. A Pool is not
// safe for concurrent use.
package placement

import "time"

// Server is a backend server as the directory knows it.
type Server struct {
	ID      string
	Address string
	Zone    string
	Slots   int
	// Usable is unset for servers that leave or lack the weights. They get
	// nothing new.
	Usable bool
	// Until is when the server's weights may not be used any more: nothing that
	// is on its way then may begin there. Zero is never.
	Until time.Time
}

// Config describes one service at one entry.
type Config struct {
	// Zone is the entry's availability zone.
	Zone string
	// ReadPerSecond is the number of prompt tokens that a server reads in a
	// second; 0 for a service that generates nothing.
	ReadPerSecond float64
}

// generates reports whether the service's servers are model engines.
func (c *Config) generates() bool { return c.ReadPerSecond > 0 }

// Request is what a decision rests on.
type Request struct {
	// Prompt is the number of prompt tokens to be read.
	Prompt int
	// Aim is the time within which the first event is on time; 0 for requests
	// without events.
	Aim time.Duration
	// WaitUntil is until when waiting for a server is of use.
	WaitUntil time.Time
	// Late is set where the answer can't be on time any more.
	Late bool
	// Begun is set where the caller has a part of the answer: it goes before all
	// others, as what was done for it would be lost.
	Begun bool
	// Priority ranks requests, 0 first.
	Priority int
	// Avoid lists the servers that were tried.
	Avoid []string
}

// Outcome is how a request ended at its server.
type Outcome uint8

// Outcomes of a request.
const (
	// Served: the server answered whole.
	Served Outcome = iota
	// Failed: the server answered wrongly, broke off, or was not reached.
	Failed
	// Full: the server refused without running the request.
	Full
	// Unheld: the server lacks the weights, or another server has its address.
	Unheld
	// Abandoned: the caller left, or its time ran out while the server worked.
	Abandoned
	// Stalled: the server sent nothing for too long.
	Stalled
)

// SendBy returns when a request that was given the place must be on its way;
// zero where there is no limit.
func (l *Lease) SendBy() time.Time {
	if l.Server.Until.IsZero() {
		return time.Time{}
	}
	return l.Server.Until.Add(-sendMargin)
}

// Lease is a request's place at a server. Pool.Done must be called once.
type Lease struct {
	// Server is the server as it was known when the place was given.
	Server Server
	state  *server
	req    Request
	at     time.Time
	// reading is set until the first event.
	reading bool
}

// Waiter is a request that waits for a server.
type Waiter struct {
	Req Request
	// Grant is called once, from a method of the Pool, with the place. It is not
	// called where the waiter was withdrawn before.
	Grant func(*Lease)
	// at is when it began to wait.
	at time.Time
}
