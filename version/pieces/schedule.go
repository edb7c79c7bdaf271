package pieces

import (
	"time"

	"github.com/waxwingpost/waxwingpost/version/planner"
)

const (
	// maxAsks bounds the requests that are under way at once. An agent asks all
	// others of its region at the same time, as it can't know whose pieces arrive
	// first.
	maxAsks = 24
	// originAsks is how many requests to the origin are under way at once: the
	// next one travels while the last is answered.
	originAsks = 2
	// retryPause is how long a source is left alone that did not have what it was
	// asked for. It doubles with each failure in a row, maxRetryDoublings times.
	retryPause        = 150 * time.Millisecond
	maxRetryDoublings = 2
	// spread is the time in which pieces reach all agents after they have left the
	// origin, over links that are not narrowed: by the simulation 1.5 s with eight
	// agents in a region, 0.9 to 1.3 s with more and a slower origin.
	spread = 1500 * time.Millisecond
	// resumeGap is how long no piece came when a transfer is taken to begin anew:
	// some times the pause between two.
	resumeGap = time.Second
	// silentAfter is how long an agent may leave a request without an answer
	// before the next in the order takes its place: a little longer than it waits.
	silentAfter = holdFor + 250*time.Millisecond
)

// Ask is one request. Any one of the pieces answers it.
type Ask struct {
	From   string
	Pieces planner.Bits
	// Wait asks the agent to answer once it has one of the pieces.
	Wait bool
	// Far is set where the agent is in another region.
	Far bool
	at  time.Duration
}

// silent reports whether an agent should have answered by now.
func (a *Ask) silent(now time.Duration) bool { return a.From != Origin && now-a.at > silentAfter }

// schedule decides which pieces an agent asks of whom next, so that all links
// are busy from the first pieces on: an agent in charge is asked for whichever
// of its pieces arrives first. It has no clock: times are counted from the start
// of the transfer. Not safe for concurrent use.
type schedule struct {
	pieces int
	open   map[*Ask]bool
	// rests holds until when sources are left alone, failures how often in a row
	// they gave nothing.
	rests    map[string]time.Duration
	failures map[string]int
	// took holds how long agents sent a piece.
	took timings
	// originAsks bounds the open requests to the origin.
	originAsks int
	// since is the time from which on pieces should have left the origin, dark is
	// set while it gives nothing.
	since time.Duration
	dark  bool
	// lastGot is when the last piece came, resumed when one came after long.
	lastGot, resumed time.Duration
}

func newSchedule(pieces, originAsks int) *schedule {
	return &schedule{
		pieces: pieces, originAsks: originAsks,
		open: map[*Ask]bool{}, rests: map[string]time.Duration{}, failures: map[string]int{}, took: timings{},
	}
}

// next returns the request to make now, or nil. done must be called for each.
func (s *schedule) next(now time.Duration, plan *Plan, missing []int, known Known) *Ask {
	if len(s.open) >= maxAsks {
		return nil
	}
	known = s.withUnfit(now, known)
	// What is late is asked for piece by piece, of as many agents as have it.
	single := now >= max(s.since, s.resumed)+plan.exit+spread
	var ask *Ask
	for _, piece := range plan.Order(missing) {
		if s.asked(now, piece) {
			continue
		}
		step, found := s.choose(now, plan, piece, known)
		switch {
		case !found || ask != nil && (single || step.From != ask.From || ask.From == Origin):
			continue
		case ask == nil:
			ask = &Ask{From: step.From, Pieces: planner.NewBits(s.pieces), Far: plan.isFar(step.From), at: now}
		}
		ask.Pieces.Set(piece)
		ask.Wait = ask.Wait || step.Wait
	}
	if ask != nil {
		s.open[ask] = true
	}
	return ask
}

// withUnfit adds the agents that do not answer, or are slow, to those that failed.
func (s *schedule) withUnfit(now time.Duration, known Known) Known {
	unfit := s.took.slow()
	for a := range s.open {
		if a.silent(now) {
			if unfit == nil {
				unfit = map[string]bool{}
			}
			unfit[a.From] = true
		}
	}
	if len(unfit) == 0 {
		return known
	}
	failed := known.Failed
	known.Failed = func(name string) bool { return unfit[name] || failed(name) }
	return known
}

// asked reports whether an open request, that may still be answered, covers a
// piece.
func (s *schedule) asked(now time.Duration, piece int) bool {
	for a := range s.open {
		if a.Pieces.Has(piece) && !a.silent(now) {
			return true
		}
	}
	return false
}

// choose returns the first source of a piece that may be asked now.
func (s *schedule) choose(now time.Duration, plan *Plan, piece int, known Known) (Step, bool) {
	held := false
	for _, step := range plan.Steps(piece, known) {
		held = held || step.Holder && !known.Failed(step.From)
		switch {
		case now < s.due(step) || step.From != Origin && known.Failed(step.From) || s.busy(now, step.From):
		case held && step.After > 0 && now < s.due(step)+spread:
			// A holder is busy; it comes from there unless its link is narrow.
			return Step{}, false
		default:
			return step, true
		}
	}
	return Step{}, false
}

// due returns from when on a source may be asked.
func (s *schedule) due(step Step) time.Duration {
	if step.Paced || step.After == 0 {
		return s.since + step.After
	}
	return max(s.since, s.resumed) + step.After
}

func (s *schedule) busy(now time.Duration, from string) bool {
	if now < s.rests[from] {
		return true
	}
	open, most := 0, 1
	if from == Origin {
		most = s.originAsks
	}
	for a := range s.open {
		if a.From == from {
			open++
		}
	}
	return open >= most
}

// drop forgets the open requests of a transfer that was ended.
func (s *schedule) drop() { clear(s.open) }

// done ends a request. A source that gave nothing rests. Those that are not in
// charge of a piece leave an origin that comes back to those that are. took is
// the time from the first to the last byte of a piece.
func (s *schedule) done(now time.Duration, a *Ask, got bool, took time.Duration) {
	delete(s.open, a)
	if a.From == Origin && (!got || s.dark) {
		s.since, s.dark = now, !got
	}
	if !got {
		s.rests[a.From] = now + retryPause<<min(s.failures[a.From], maxRetryDoublings)
		s.failures[a.From]++
		return
	}
	s.failures[a.From] = 0
	if a.From != Origin {
		s.took[a.From] = took
	}
	s.noteGot(now)
}

// noteGot takes in that a piece has come, which tells of an origin that gives
// again, perhaps to others.
func (s *schedule) noteGot(now time.Duration) {
	gap := resumeGap
	if s.lastGot == 0 {
		// The first may take as long as the version takes to leave the origin.
		gap = usualExit
	}
	if now-s.lastGot > gap {
		s.resumed = now
	}
	s.lastGot = now
}
