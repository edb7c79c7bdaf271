package sidecar

import (
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

const (
	// worthLoading is for how long a version that is not the newest must be usable
	// to be loaded: endMargin, the one or two seconds in which an engine ends its
	// work and loads, and some of service.
	worthLoading = 4 * time.Second
	// spreadTime is the time that pieces take from agent to agent after they have
	// left the origin, measured on the platform's narrow links.
	spreadTime = 1600 * time.Millisecond
	// maxSpread bounds the time over which engines load: each takes one to two
	// seconds, so that about half of them serve at any moment.
	maxSpread = 3 * time.Second
	// endMargin is how long before their bound entries end the use of old weights;
	// placement.beginMargin.
	endMargin = 2 * time.Second
)

// outlook is what the choice of a version rests on.
type outlook struct {
	named feed.VersionHistory
	// held is the version that the engine holds, 0 for none.
	held int
	now  time.Time
	// bound is the time after which only newer weights serve.
	bound time.Duration
	// exit is the time in which a version leaves the origin.
	exit time.Duration
	// begun reports whether pieces of a version are here.
	begun func(version int) bool
}

// wanted returns the versions of a model that are worth bringing to an engine,
// the preferred one first. The newest goes before others, unless it would arrive
// after the end of what the engine holds and the transfer of another has begun.
// Where a version can't be had the next one bridges the time.
func (o *outlook) wanted() []int {
	newest := max(o.named.Newest(), firstVersion)
	if o.held >= newest {
		return nil
	}
	list := []int{newest}
	inTime := o.newestInTime()
	for _, v := range slices.Backward(o.named.Versions()) {
		if v.Version <= o.held || v.Version >= newest {
			continue
		}
		if until, _ := o.named.UsableUntil(v.Version, o.bound); until.Sub(o.now) < worthLoading {
			continue
		}
		if !inTime && o.begun(v.Version) {
			list = slices.Insert(list, 0, v.Version)
		} else {
			list = append(list, v.Version)
		}
	}
	return list
}

// newestInTime reports whether the newest version can be here before what the
// engine holds may not be used any more.
func (o *outlook) newestInTime() bool {
	known := o.named.Versions()
	if len(known) == 0 || o.held == 0 {
		return false
	}
	here := known[len(known)-1].Since.Add(o.exit + spreadTime)
	return !here.After(o.end())
}

// end returns until when what the engine holds is used.
func (o *outlook) end() time.Time {
	until, _ := o.named.UsableUntil(o.held, o.bound)
	return until.Add(-endMargin)
}

// loadAt returns when an engine loads a version that is here: the agents, of
// which this is the place-th of count, use the time that is left for it one after
// the other, so that the others serve meanwhile.
//
// A version that is not the newest is of use for a short time only: it is loaded
// at once.
func (o *outlook) loadAt(version, place, count int) time.Time {
	left := o.end().Sub(o.now)
	if o.held == 0 || left <= 0 || count == 0 || version < o.named.Newest() {
		return o.now
	}
	return o.now.Add(min(left, maxSpread) * time.Duration(place) / time.Duration(count))
}

const (
	// stallAfter is how long a transfer may bring nothing before another version is
	// tried: a request that is not answered.
	stallAfter = 900 * time.Millisecond
	// seekFor is the same for a manifest: two requests that are not answered, and
	// the pauses between.
	seekFor = 1800 * time.Millisecond
)

// progress tells whether a transfer stalls.
type progress struct {
	key pieces.Key
	// missing is the number of pieces that lacked last, -1 before the manifest was
	// known, and since when that was so.
	missing int
	since   time.Time
}

// note takes in how many pieces of a version are missing now.
func (p *progress) note(key pieces.Key, missing int, now time.Time) {
	if key != p.key || missing != p.missing || missing == 0 {
		*p = progress{key: key, missing: missing, since: now}
	}
}

// stalled reports whether the transfer has brought nothing for too long.
func (p *progress) stalled(now time.Time) bool {
	limit := stallAfter
	if p.missing < 0 {
		limit = seekFor
	}
	return now.Sub(p.since) >= limit
}

// stalls holds when the transfer of a version last came to a stop.
type stalls map[pieces.Key]time.Time

// choose returns the version whose transfer stopped longest ago, the preferred
// one where none has.
func (s stalls) choose(model string, versions []int) pieces.Key {
	best := pieces.Key{Model: model, Version: versions[0]}
	for _, v := range versions[1:] {
		if k := (pieces.Key{Model: model, Version: v}); s[k].Before(s[best]) {
			best = k
		}
	}
	return best
}

// note takes in that a transfer came to a stop, and forgets versions below.
func (s stalls) note(k pieces.Key, now time.Time, versions []int) {
	s[k] = now
	for old := range s {
		if old.Model == k.Model && !slices.Contains(versions, old.Version) {
			delete(s, old)
		}
	}
}
