// Package placement decides, for the requests of one entry to one service,
// which server runs each request, which requests are queued, and which are
// refused at once.
//
// It limits the effect of overload. A server gets no more requests than it can
// run concurrently. Requests are queued at the entry, where they can still be
// reordered. A request that would miss its deadline is refused while its caller
// still has time to retry. Entries that share servers divide their slots in
// proportion to the demand at each entry.
//
// The package has no network. Callers pass the time; only whether weights have
// expired is read from a clock. A Pool is not safe for concurrent use.
package placement

import (
	"strconv"
	"time"

	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/request/coldlimit"
	"github.com/waxwingpost/waxwingpost/request/serverlimit"
	"github.com/waxwingpost/waxwingpost/request/turnaway"
)

// Server is a backend server as listed in the directory.
type Server struct {
	ID      string
	Address string
	// Born is the server's start in Unix milliseconds: it may start again under its ID.
	Born int64
	Zone string
	// Region is the region of the zone; empty if the zone is unknown.
	Region string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Usable is false for servers that are draining or lack the weights. They get
	// no new requests.
	Usable bool
	// Held lists the weights that the server holds. It must not be modified.
	Held []directory.ModelVersion
	// Verified lists the weights that the server's agent has verified. It must not be
	// modified.
	Verified []directory.Verification
	// WeightsVersion is the version of the weights that expire first; it is only
	// logged.
	WeightsVersion int
	// WeightsUntil is when the server's weights expire. No request may start there
	// after that time, including requests already sent. Zero means no expiry.
	WeightsUntil boottime.Instant
	// Pace is how long work takes on the server in multiples of the usual time, as its agent
	// reports; 0 if unknown.
	Pace float64
}

// Incarnation identifies one start of the server.
func (s *Server) Incarnation() string { return s.ID + "/" + strconv.FormatInt(s.Born, 10) }

// Config holds the settings of one service at one entry.
type Config struct {
	// Zone is the entry's availability zone.
	Zone string
	// ReadPerSecond is the prefill rate of a server in prompt tokens per second; 0
	// for a service whose servers are not model engines.
	ReadPerSecond float64
	// EventInterval is the time between two events of a stream on a server that runs nothing
	// else; 0 for a service whose servers are not model engines.
	EventInterval time.Duration
	// Limits holds the limits that servers have named; nil if they name none.
	Limits *serverlimit.Table
	// TurnedAway holds the servers that want no requests from this entry for a time; nil if
	// there are none.
	TurnedAway *turnaway.Table
	// Cold holds the cold servers; nil if they have no limit. ColdPart is the entry's part of
	// what they take.
	Cold     *coldlimit.Table
	ColdPart coldlimit.Part
	// Random returns a random number below n; nil means math/rand/v2.
	Random func(n int) int
	// Entries is the number of entries that share the servers.
	Entries int
	// Demand is the demand by regions; nil if no demand is bound to regions or if that is
	// unknown.
	Demand *Demand
}

// hasEngines reports whether the service's servers are model engines.
func (c *Config) hasEngines() bool { return c.ReadPerSecond > 0 }

// Request holds the properties of a request that determine its placement.
type Request struct {
	// PromptTokens is the number of prompt tokens.
	PromptTokens int
	// LatencyTarget is the latency target for the first event; 0 for requests whose
	// response is not a stream.
	LatencyTarget time.Duration
	// FirstDue is the time by which the first event must come to be on time; zero if it can't
	// any more, or there is none.
	FirstDue time.Time
	// Deadline is the time by which the response must end; zero if unknown.
	Deadline time.Time
	// Events is the number of events that the response is expected to have; 0 if unknown.
	Events int
	// WaitUntil is the deadline for getting a slot.
	WaitUntil time.Time
	// Late is set if the latency target can no longer be met.
	Late bool
	// Returned is set if the caller was refused before and has come back. Pool.Enqueue decides
	// whether it goes ahead of others.
	Returned bool
	// ReturnFrom is the time from which Returned would be set if the caller came back.
	ReturnFrom time.Time
	// Started is set if the caller already has part of the response. Such a request
	// precedes all others, because the work done for it would be lost.
	Started bool
	// Priority orders queued requests; lower values go first.
	Priority int
	// Replaces is set if the request holds a slot that it gives back once it has
	// another one.
	Replaces bool
	// Exclude lists the IDs of servers that were already tried.
	Exclude []string
	// Regions lists the regions whose servers may run the request. Nil means any server, an
	// empty list none.
	Regions []string
	// mustEnd is set if the request is of no use at a server where it is not expected to end
	// before its deadline.
	mustEnd bool
}

// Outcome classifies how a request ended at its server.
type Outcome uint8

// Outcomes of a request.
const (
	// Served means that the server sent a complete response.
	Served Outcome = iota
	// Failed means that the response was invalid or incomplete, or that the server
	// could not be reached.
	Failed
	// Refused means that the server refused the request without running it.
	Refused
	// WeightsMissing means that the server lacks the weights, or that another
	// server uses its address.
	WeightsMissing
	// Canceled means that the caller left or the deadline passed while the server
	// was working.
	Canceled
	// Stalled means that the server sent nothing until a timeout.
	Stalled
	// Unused means that the slot was given back without sending the request.
	Unused
)

// CurrentServer returns the server as listed last.
func (l *Lease) CurrentServer() Server { return l.state.Server }

// Granted returns when the slot was assigned.
func (l *Lease) Granted() time.Time { return l.granted }

// SendDeadline returns the time by which the request must have been sent, as far as that was
// known when the slot was assigned; zero if there is no limit.
func (l *Lease) SendDeadline() boottime.Instant {
	if l.Server.WeightsUntil.IsZero() {
		return boottime.Instant{}
	}
	return SendDeadline(l.Server.WeightsUntil)
}

// SendDeadline returns the time by which a request must have been sent to a server whose weights
// expire at until.
func SendDeadline(until boottime.Instant) boottime.Instant { return until.Add(-sendMargin) }

// Lease is a slot at a server that is assigned to a request. Pool.Release must be
// called once for each lease.
type Lease struct {
	// Server is the server as listed when the slot was assigned, and Incarnation its
	// incarnation.
	Server      Server
	Incarnation string
	state       *server
	req         Request
	granted     time.Time
	// awaitingFirst is set until the first event.
	awaitingFirst bool
	// silent is set while the server has been reported as silent.
	silent bool
}

// Waiter is a queued request.
type Waiter struct {
	Request Request
	// Grant is called once, from a method of the Pool, with the assigned slot. It is
	// not called after Dequeue has returned true.
	Grant func(*Lease)
	// Refuse is called once instead of Grant, from a method of the Pool, if no usable server
	// is left in the regions of a request that is restricted to some. If it is nil, such a
	// request stays queued.
	Refuse func()
	// ahead is set if the request of a caller who has come back goes ahead of new ones.
	ahead bool
	// short is set if the request goes ahead of longer ones of its class.
	short bool
	// queued is when the request was queued.
	queued time.Time
}
