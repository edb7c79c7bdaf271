package pieces

import (
	"time"

	"github.com/waxwingpost/waxwingpost/version/planner"
)

const (
	// maxRequests limits the concurrent requests of an agent. It asks all other
	// agents of its region at the same time, since it can't know whose pieces
	// arrive first.
	maxRequests = 24
	// minRequests is the limit that remains for an agent behind a slow link, and
	// congestedTime the time of a piece from which the limit is lowered: usual links take a
	// quarter of it, and the sender gives up after sendTimeout.
	minRequests   = 2
	congestedTime = 600 * time.Millisecond
	// holderPatience is how long the origin is not asked for a piece that another agent is
	// known to hold and does not send: after that its link is taken for cut off.
	holderPatience = spreadTime
	// maxLeadPolls is the number of consecutive requests to an agent, each of which waits for
	// pieceWait, after which a lead agent pauses as well: it would ask no other agent
	// otherwise. The pieces of one agent arrive within that time.
	maxLeadPolls = 2
	// takeoverDelay is how long an agent asks others for the pieces of one that has failed
	// before it asks the origin: a request to each other region.
	takeoverDelay = 60 * time.Millisecond
	// maxOriginRequests limits the concurrent requests to the origin: the next one
	// is sent while the previous one is answered.
	maxOriginRequests = 2
	// retryDelay is how long a source that did not send a piece is not asked again.
	// It doubles with each consecutive failure, up to maxRetryDoublings times.
	retryDelay        = 150 * time.Millisecond
	maxRetryDoublings = 2
	// maxOriginRetryDoublings is the same for the origin, which all agents wait for.
	maxOriginRetryDoublings = 1
	// spreadTime is the time in which pieces reach all agents over links of full
	// rate after they have left the origin: 1.5 s with eight agents in a region,
	// 0.9 to 1.3 s with more agents and a slower origin.
	spreadTime = 1500 * time.Millisecond
	// resumeGap is the time without a received piece after which the next one
	// counts as the restart of the transfer. It is several times the usual interval
	// between two pieces.
	resumeGap = time.Second
	// replyTimeout is the time without an answer after which the next agent in the
	// order replaces the one that was asked. It is slightly longer than pieceWait,
	// for which an agent may hold a request.
	replyTimeout = pieceWait + 250*time.Millisecond
)

// Request asks one source for any one of a set of pieces.
type Request struct {
	From   string
	Pieces planner.Bits
	// Wait asks the agent to answer once it holds one of the pieces.
	Wait bool
	// Far is set if the agent is in another region.
	Far bool
	// Wave is the position of the requesting agent's wave; see Plan.wave.
	Wave int
	// Probe is set for a request to an origin that did not answer the last one.
	Probe bool
	sent  time.Duration
}

// late reports whether an agent should have answered by now.
func (r *Request) late(now time.Duration) bool { return r.From != Origin && now-r.sent > replyTimeout }

// schedule decides which pieces an agent requests next and from which source. To
// keep all links busy from the first pieces on, a responsible agent is asked for
// whichever of its pieces arrives first. It has no clock: times are durations
// since the start of the transfer. It is not safe for concurrent use.
type schedule struct {
	pieces   int
	inFlight map[*Request]bool
	// retryAt holds when sources may be asked again, failures the number of
	// consecutive requests without a piece.
	retryAt  map[string]time.Duration
	failures map[string]int
	// transferTimes holds how long agents took to send their last piece.
	transferTimes transferTimes
	// originRequestLimit limits the concurrent requests to the origin.
	originRequestLimit int
	// originStart is the time since which the origin is expected to send pieces;
	// originDown is set while it sends none.
	originStart time.Duration
	originDown  bool
	// positions holds, once originStart was reset, the position of each piece among those
	// that were missing then. They are paced by it: those that have left the origin already
	// take no time of its link.
	positions  map[int]int
	reposition bool
	// nextPaced is the earliest time, later than that of the last call of nextRequest, at
	// which the origin may be asked for a piece; 0 if there is none.
	nextPaced time.Duration
	// missing is the number of missing pieces.
	missing int
	// takeoverAt holds since when the agent responsible for a piece is known to have failed,
	// and this one replaces it.
	takeoverAt map[int]time.Duration
	// limit is the number of concurrent requests, at most maxRequests. It follows the time
	// that pieces take: over a slow link many at once would all end in timeouts.
	limit int
	// lastReceived is when the last piece arrived, resumedAt when one last arrived
	// after a long gap.
	lastReceived, resumedAt time.Duration
}

func newSchedule(pieces, originRequestLimit int) *schedule {
	return &schedule{
		pieces: pieces, originRequestLimit: originRequestLimit,
		inFlight: map[*Request]bool{}, retryAt: map[string]time.Duration{}, failures: map[string]int{}, transferTimes: transferTimes{},
		takeoverAt: map[int]time.Duration{}, limit: maxRequests,
	}
}

// nextRequest returns the request to send now, or nil. requestDone must be
// called for each request.
func (s *schedule) nextRequest(now time.Duration, plan *Plan, missing []int, peers PeerState) *Request {
	s.nextPaced, s.missing = 0, len(missing)
	if len(s.inFlight) >= s.limit {
		return nil
	}
	if s.reposition {
		s.reposition, s.positions = false, map[int]int{}
		for position, piece := range missing {
			s.positions[piece] = position
		}
	}
	peers = s.markUnresponsive(now, peers)
	// Overdue pieces are requested one by one from as many agents as hold them.
	onePiece := now >= max(s.originStart, s.resumedAt)+plan.originDeadline+spreadTime
	var req *Request
	for _, piece := range plan.RequestOrder(missing) {
		if s.requested(now, piece) {
			continue
		}
		source, found := s.chooseSource(now, plan, piece, peers)
		switch {
		case !found || req != nil && (onePiece || source.From != req.From || req.From == Origin):
			continue
		case req == nil:
			req = &Request{From: source.From, Pieces: planner.NewBits(s.pieces), Far: plan.inOtherRegion(source.From), Wave: plan.wave(), Probe: source.From == Origin && s.originDown, sent: now}
		}
		req.Pieces.Set(piece)
		req.Wait = req.Wait || source.Wait
	}
	if req != nil {
		s.inFlight[req] = true
	}
	return req
}

// markUnresponsive returns the peer state with agents that are slow or late to
// answer counted as failed.
func (s *schedule) markUnresponsive(now time.Duration, peers PeerState) PeerState {
	unresponsive := s.transferTimes.slowAgents()
	for r := range s.inFlight {
		if r.late(now) {
			if unresponsive == nil {
				unresponsive = map[string]bool{}
			}
			unresponsive[r.From] = true
		}
	}
	if len(unresponsive) == 0 {
		return peers
	}
	failed := peers.Failed
	peers.Failed = func(name string) bool { return unresponsive[name] || failed(name) }
	return peers
}

// requested reports whether a piece is covered by a request in flight that is
// not late.
func (s *schedule) requested(now time.Duration, piece int) bool {
	for r := range s.inFlight {
		if r.Pieces.Has(piece) && !r.late(now) {
			return true
		}
	}
	return false
}

// chooseSource returns the first source of a piece that may be asked now.
func (s *schedule) chooseSource(now time.Duration, plan *Plan, piece int, peers PeerState) (Source, bool) {
	heldByPeer := false
	pacedAt := s.pacedAt(plan, piece)
	for _, source := range plan.Sources(piece, peers) {
		heldByPeer = heldByPeer || source.Holder && !peers.Failed(source.From)
		if source.Paced {
			source.After = pacedAt
			s.wakeAt(now, s.notBefore(plan, source))
		}
		if source.Takeover && now < s.takeoverFrom(now, piece) {
			return s.takeoverSource(now, plan, piece, peers)
		}
		switch {
		case source.From == Origin && heldByPeer && now < s.notBefore(plan, source)+holderPatience:
			return Source{}, false
		case now < s.notBefore(plan, source) || !s.usable(now, source.From, peers):
		case heldByPeer && source.After > 0 && now < s.notBefore(plan, source)+spreadTime:
			// A holder is busy. Wait for it rather than use a fallback, unless the
			// delay suggests that its link is slow.
			return Source{}, false
		default:
			return source, true
		}
	}
	return Source{}, false
}

// pacedAt returns the scheduled time of a piece at the origin, counted from originStart.
func (s *schedule) pacedAt(plan *Plan, piece int) time.Duration {
	if position, ok := s.positions[piece]; ok {
		piece = position
	}
	return plan.originSource(piece).After
}

// takeoverFrom returns the time from which the origin may be asked for a piece in place of
// an agent that failed.
func (s *schedule) takeoverFrom(now time.Duration, piece int) time.Duration {
	since, known := s.takeoverAt[piece]
	if !known {
		since = now
		s.takeoverAt[piece] = now
	}
	return since + takeoverDelay
}

// takeoverSource returns the next agent to ask for a piece before the origin is asked.
func (s *schedule) takeoverSource(now time.Duration, plan *Plan, piece int, peers PeerState) (Source, bool) {
	for _, source := range plan.takeoverSources(piece, peers.Failed) {
		if !s.busy(now, source.From) {
			return source, true
		}
	}
	s.wakeAt(now, s.takeoverAt[piece]+takeoverDelay)
	return Source{}, false
}

// wakeAt has wakeAfter return no later time.
func (s *schedule) wakeAt(now, at time.Duration) {
	if at > now && (s.nextPaced == 0 || at < s.nextPaced) {
		s.nextPaced = at
	}
}

// adaptLimit adapts the number of concurrent requests to the time that one took.
func (s *schedule) adaptLimit(took time.Duration, received bool) {
	switch {
	case took >= congestedTime:
		s.limit = max(minRequests, s.limit/2)
	case received:
		s.limit = min(maxRequests, s.limit+1)
	}
}

// wakeAfter returns the time after which nextRequest may return a request without a
// response: retryDelay, or less if a piece is scheduled at the origin before.
func (s *schedule) wakeAfter(now time.Duration) time.Duration {
	if s.nextPaced > now {
		return min(retryDelay, s.nextPaced-now)
	}
	return retryDelay
}

// usable reports whether a source may be asked now.
func (s *schedule) usable(now time.Duration, from string, peers PeerState) bool {
	return (from == Origin || !peers.Failed(from)) && !s.busy(now, from)
}

// notBefore returns the earliest time at which a source may be asked.
func (s *schedule) notBefore(plan *Plan, source Source) time.Duration {
	if source.Paced || source.After == 0 {
		return s.originStart + source.After
	}
	if source.OtherRegion {
		// While pieces arrive, agents of the origin's region fetch them.
		return max(s.originStart, s.lastReceived) + source.After
	}
	if s.resumedAt > s.originStart && plan.pieceTime > 0 {
		// Only the missing pieces are still to leave the origin.
		remaining := time.Duration(s.missing)*plan.pieceTime + originTimeMargin
		return s.resumedAt + source.After - max(0, plan.originDeadline-remaining)
	}
	return max(s.originStart, s.resumedAt) + source.After
}

// busy reports whether a source must not be asked now: its retry delay has not
// passed, or it has reached its limit of concurrent requests.
func (s *schedule) busy(now time.Duration, from string) bool {
	if now < s.retryAt[from] {
		return true
	}
	inFlight, limit := 0, 1
	if from == Origin {
		limit = s.originRequestLimit
	}
	for r := range s.inFlight {
		if r.From == from {
			inFlight++
		}
	}
	return inFlight >= limit
}

// clearInFlight removes the requests of a transfer that was stopped.
func (s *schedule) clearInFlight() { clear(s.inFlight) }

// requestDone records the end of a request. A source that sent no piece is not
// asked again before its retry delay. A failure of the origin and its recovery
// reset originStart, so that agents that are not responsible for a piece leave a
// recovered origin to those that are. transferTime is the time from the first to
// the last byte of a piece.
func (s *schedule) requestDone(now time.Duration, r *Request, received bool, transferTime time.Duration) {
	delete(s.inFlight, r)
	if r.From != Origin {
		s.adaptLimit(max(transferTime, now-r.sent-replyTimeout), received)
	}
	if r.From == Origin && (!received || s.originDown) {
		s.originStart, s.originDown, s.reposition = now, !received, true
	}
	if !received {
		doublings := min(s.failures[r.From], maxRetryDoublings)
		if r.From == Origin {
			doublings = min(doublings, maxOriginRetryDoublings)
		}
		s.failures[r.From]++
		if r.Wave == 0 && r.Wait && now-r.sent >= pieceWait && s.failures[r.From] <= maxLeadPolls {
			// A lead agent asks again at once for the next piece to arrive there.
			return
		}
		if r.Wait && now-r.sent >= pieceWait {
			// The agent answered, but others were served first.
			doublings = 0
		}
		s.retryAt[r.From] = now + retryDelay<<doublings
		return
	}
	s.failures[r.From] = 0
	if r.From != Origin {
		s.transferTimes[r.From] = transferTime
	}
	s.pieceReceived(now)
}

// pieceReceived records the arrival of a piece. After a gap it means that the
// origin is sending again, perhaps to other agents.
func (s *schedule) pieceReceived(now time.Duration) {
	gap := resumeGap
	if s.lastReceived == 0 {
		// The first piece may take as long as the version takes to leave the origin.
		gap = defaultOriginTime
	}
	if now-s.lastReceived > gap {
		s.resumedAt = now
	}
	s.lastReceived = now
}
