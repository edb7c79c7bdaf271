package sidecar

import (
	"time"

	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

// latePutBound is the time after which a put without a response has taken effect or never
// will: four times the limit of a call. Held calls of the soak end earlier.
const latePutBound = 4 * engineTimeout

// latePuts tracks whether a put of this process that received no response may still take
// effect. Between a load and its read-back it repairs a staged piece, which hides that the
// load took a corrupt one. Such a load is dropped and repeated once.
type latePuts struct {
	// last is the time of the last put without a response, zero if none, and key its version.
	last time.Time
	key  pieces.Key
}

// putDone records the end of a put.
func (l *latePuts) putDone(now time.Time, key pieces.Key, err error) {
	if result.CodeOf(err) == result.EngineUnreadable {
		l.last, l.key = now, key
	}
}

// mayHide reports whether a put may have repaired a piece after the engine had accepted the
// order to load a version that was sent at ordered. It reports that for one load only: the
// put has taken effect when the load is repeated.
func (l *latePuts) mayHide(key pieces.Key, ordered time.Time) bool {
	hides := l.key == key && !l.last.IsZero() && ordered.Sub(l.last) < latePutBound
	if hides {
		l.last = time.Time{}
	}
	return hides
}
