// Package quarantine decides which parts of prompts and which requests crash servers, and
// which requests must not be sent because of that.
//
// A server that ends breaks off all its requests, at all entries, and nothing in the
// requests tells which one caused it. The package compares the requests that each server
// had not begun to answer for long when it ended. A part of a prompt is suspected if it
// was among those of several servers that ended one after the other, if no server has
// proven it sound meanwhile by going on after it began an answer, and if no other part
// explains these ends better. Parts that requests only share with a suspected one are
// not suspected: another part explains the same ends and more.
//
// Parts that explain the same ends are suspected together, and only requests with all of them
// are refused. Those with some of them tell the parts apart: a part that a server proves
// sound is no longer suspected, and neither is one that explains fewer ends than another.
//
// A request as a whole is a candidate like a part of its prompt, identified by a digest
// that its repetitions share. Where it explains the same ends as a part, the request is
// suspected and not the part: that concerns no other request. A part that explains further
// ends is suspected in its place.
//
// Requests with a suspected part are refused for a time. After that one at a time is
// tried, and the part is cleared once a server goes on, or suspected again for twice the
// time once another one ends, and for a day after the third such trial.
//
// The package does no I/O and has no clock. Memory is bounded whatever callers send. A
// Table is not safe for concurrent use.
package quarantine

import (
	"cmp"
	"time"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

const (
	// window is the age up to which ends of servers are compared.
	window = 5 * time.Minute
	// settleTime is how long the entries wait for each other's reports on a server, and
	// for a sign of life from it, before its end counts.
	settleTime = 300 * time.Millisecond
	// aliveMargin is the time after a broken connection from which a response shows that
	// the server is alive. Earlier ones may have waited in buffers.
	aliveMargin = 100 * time.Millisecond
	// aliveSpread is the time over which the entries report a sign of life, so that one
	// report spares the others.
	aliveSpread = 100 * time.Millisecond
	// sameEnd is the time within which several reports concern one end of a server.
	sameEnd = time.Second
	// sameMoment is the time within which the ends of several servers count as one: a
	// failed zone or rack ends many at once.
	sameMoment = 20 * time.Millisecond
	// minMoments and maxMoments bound the number of moments at which servers must have
	// ended for a part to be suspected. The probability that this happens to a sound part
	// by chance must be below maxChance. With maxMoments parts are suspected together if
	// nothing distinguishes them.
	minMoments = 3
	maxMoments = 5
	maxChance  = 1e-6
	// maxRequestChance is the same for a request as a whole, whose hold concerns nothing else.
	maxRequestChance = 1e-4
	// cutMemory is the time constant of the fraction of requests that ends of servers cut.
	cutMemory = 20 * time.Second
	// priorProven is the number of proven requests that the fraction starts with.
	priorProven = 10
	// provenLead is the number of further moments by which a part that was proven sound before
	// must explain more ends than one that never was, which may be the cause in its place.
	provenLead = 2
	// tiedLead is the number of further moments from which one of several parts that are suspected
	// together is suspected alone: one may be the end of a server by another cause. After as many
	// ends with some of the parts, one further moment is enough.
	tiedLead = 2
	// doubtfulMoments is the number from which a broken-off request is not sent again.
	doubtfulMoments = 2
	// ProvenEvents is the number of events after which a server has proven the parts of a
	// prompt sound. A crash follows within a few.
	ProvenEvents = 6
	// firstHold and firstRequestHold are the times for which a part and a request are refused
	// first. They double after each trial that ends a server, up to maxTrials of them; then
	// lastHold is the time.
	firstHold        = 5 * time.Minute
	firstRequestHold = time.Minute
	maxTrials        = 3
	lastHold         = 24 * time.Hour
	// trialSpread is the time over which the entries begin to try a part again, so that
	// one server ends at most before all know of it.
	trialSpread = time.Minute
	// trialRetryAfter is the retry delay while another request is tried, and the time for which no
	// other one is tried after a trial has ended a server.
	trialRetryAfter = 2 * time.Second
	// maxEnds bounds the servers whose ends are compared, maxParts the parts and the requests
	// that one entry records for a server, maxEndParts those that all entries do, maxHolds
	// the suspected ones, and maxProven the parts, and the requests, of each of two generations
	// whose proofs are remembered.
	maxEnds     = 64
	maxParts    = 256
	maxEndParts = 1024
	maxHolds    = 128
	maxProven   = 4096
	// maxNameBytes is the length up to which the name of a model or part is kept.
	maxNameBytes = 32
	// sweepInterval is the time between two removals of what is too old.
	sweepInterval = time.Second
)

// Part is a part of a prompt to a model, or a request as a whole.
type Part struct {
	Model string `cbor:"1,keyasint"`
	ID    string `cbor:"2,keyasint"`
	// Request is set if ID is the digest of a request.
	Request bool `cbor:"3,keyasint,omitempty"`
}

// compare orders parts, so that all entries decide alike.
func (p Part) compare(o Part) int {
	return cmp.Or(p.width()-o.width(), cmp.Compare(p.Model, o.Model), cmp.Compare(p.ID, o.ID))
}

// width orders parts by how many requests have them: fewest have a digest.
func (p Part) width() int {
	if p.Request {
		return 0
	}
	return 1
}

// Candidate is a part that may have ended a server.
type Candidate struct {
	Part Part `cbor:"1,keyasint"`
	// Depth is the position of the part in its prompt.
	Depth int `cbor:"2,keyasint"`
	// Service is the service to which this entry sends the request.
	Service string `cbor:"-"`
}

// Report is what one entry saw of the end of a server.
type Report struct {
	Candidates []Candidate `cbor:"1,keyasint,omitempty"`
	// Runs is the number of requests that were broken off at the same moment.
	Runs int `cbor:"2,keyasint,omitempty"`
	// Refused is set if the server's address refused a connection afterwards.
	Refused bool `cbor:"3,keyasint,omitempty"`
}

// Hold is the quarantine of a part, as the entries tell each other.
type Hold struct {
	Part Part `cbor:"1,keyasint"`
	// Count is how many times in a row the part was suspected; 0 means that it is cleared.
	Count int `cbor:"2,keyasint"`
	// With lists the parts that are suspected together with Part: only requests with all of them
	// are refused.
	With []Part `cbor:"3,keyasint,omitempty"`
}

// parts returns all parts that are suspected.
func (h *Hold) parts() []Part { return append([]Part{h.Part}, h.With...) }

// duration returns how long a part is refused.
func (h Hold) duration() time.Duration {
	first := firstHold
	if h.Part.Request {
		first = firstRequestHold
	}
	if h.Count > maxTrials {
		return lastHold
	}
	return first << max(h.Count-1, 0)
}

// TTL returns how long the hold is remembered.
func (h Hold) TTL() time.Duration { return 2*h.duration() + trialSpread }

// Action is what a decision does to a part.
type Action uint8

// Values of Action.
const (
	// Suspected means that requests with the part are refused from now on.
	Suspected Action = iota + 1
	// Cleared means that a server has proven the part sound.
	Cleared
	// Explained means that the part was only in requests that had another suspected one.
	Explained
	// Narrowed means that fewer parts are suspected together.
	Narrowed
)

// String returns the action's name for logs.
func (a Action) String() string {
	return [...]string{"none", "suspected", "cleared", "explained", "narrowed"}[a]
}

// Decision is a change of a part's quarantine.
type Decision struct {
	Action Action
	Hold   Hold
	At     boottime.Instant
	// Servers lists the servers that ended while they had a request with the part.
	Servers []string
	// Moments is the number of moments at which they ended, Required the number that was
	// required, and RunnerUp that of the part that explains their ends second best.
	Moments, Required, RunnerUp int
}
