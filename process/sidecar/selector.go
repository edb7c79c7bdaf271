package sidecar

import (
	"slices"
	"time"

	"github.com/waxwingpost/waxwingpost/process/boottime"
	"github.com/waxwingpost/waxwingpost/process/directory"
	"github.com/waxwingpost/waxwingpost/process/feed"
	"github.com/waxwingpost/waxwingpost/version/pieces"
)

const (
	// minUsableTime is how long a version that is not the newest must remain usable
	// after its transfer to be worth it: directory.LastRequestMargin, the one or two seconds
	// in which an engine finishes its requests and loads, and some time to serve.
	minUsableTime = directory.LastRequestMargin + 3*time.Second
	// peerTransferTime is the time that pieces take from agent to agent on the
	// platform's low-bandwidth links, after they have left the origin.
	peerTransferTime = 1600 * time.Millisecond
)

// versionSelector selects the version of a model to transfer and the time to load
// it.
type versionSelector struct {
	history feed.VersionHistory
	// heldVersion is the version that the engine holds, 0 for none.
	heldVersion int
	now         boottime.Instant
	// oldVersionGrace is how long a version may serve after the next one was
	// published.
	oldVersionGrace time.Duration
	// originTime is the time that the origin's link takes to send a version once.
	originTime time.Duration
	// started reports whether this agent holds pieces of a version.
	started func(version int) bool
	// missing returns the part of a version's pieces that this agent lacks, 0 to 1; nil if
	// none is missing.
	missing func(version int) float64
}

// wanted returns the versions that are worth installing, the preferred one
// first. The newest comes first, unless it would arrive after the held version
// expires and the transfer of another version has started. If the transfer of a
// version stalls, the next one serves in the meantime. Another version is of no use if
// it expires soon after the rest of its transfer, which would only delay the newest one.
func (s *versionSelector) wanted() []int {
	newest := max(s.history.Newest(), initialVersion)
	if s.heldVersion >= newest {
		return nil
	}
	candidates := []int{newest}
	inTime := s.newestArrivesInTime()
	for _, v := range slices.Backward(s.history.Versions()) {
		if v.Version <= s.heldVersion || v.Version >= newest {
			continue
		}
		if until, _ := s.history.UsableUntil(v.Version, s.oldVersionGrace); until.Sub(s.now)-s.restOfTransfer(v.Version) < minUsableTime {
			continue
		}
		if !inTime && s.started(v.Version) {
			candidates = slices.Insert(candidates, 0, v.Version)
		} else {
			candidates = append(candidates, v.Version)
		}
	}
	return candidates
}

// restOfTransfer returns the time that the rest of a version's transfer takes at least.
func (s *versionSelector) restOfTransfer(version int) time.Duration {
	if s.missing == nil {
		return 0
	}
	return time.Duration(s.missing(version) * float64(s.originTime+peerTransferTime))
}

// newestArrivesInTime reports whether the newest version can be transferred before
// the held version expires.
func (s *versionSelector) newestArrivesInTime() bool {
	versions := s.history.Versions()
	if len(versions) == 0 || s.heldVersion == 0 {
		return false
	}
	arrival := versions[len(versions)-1].Since.Add(s.originTime + peerTransferTime)
	return !arrival.After(s.usableUntil())
}

// usableUntil returns the time until which entries use the held version.
func (s *versionSelector) usableUntil() boottime.Instant {
	until, _ := s.history.UsableUntil(s.heldVersion, s.oldVersionGrace)
	return until.Add(-directory.LastRequestMargin)
}

// loadTime returns when the engine loads a version whose transfer is complete. count engines
// have not begun, of which this is the one at index; the last one begins loadMargin before
// entries stop using the held version.
//
// A version that is not the newest is usable only for a short time and is loaded at once, and
// so is any version if the engine holds nothing that entries may use.
func (s *versionSelector) loadTime(version, index, count int) boottime.Instant {
	remaining := s.usableUntil().Sub(s.now) - loadMargin
	if s.heldVersion == 0 || remaining <= 0 || count == 0 || version < s.history.Newest() {
		return s.now
	}
	return s.now.Add(remaining * time.Duration(index) / time.Duration(count))
}

// loadTurn is like loadTime for the agent self. waiting lists the agents whose engines have not
// begun, in their order, and contains self. Later calls may return an earlier time, as other
// engines begin; a later time is to be ignored, since the engines before may never begin.
func (s *versionSelector) loadTurn(version int, waiting []string, self string) boottime.Instant {
	return s.loadTime(version, max(slices.Index(waiting, self), 0), len(waiting))
}

const (
	// stallTimeout is how long a transfer may make no progress before another version
	// is tried: long enough for one unanswered request.
	stallTimeout = 900 * time.Millisecond
	// manifestStallTimeout is the same for a manifest: long enough for two unanswered
	// requests and the pauses between them.
	manifestStallTimeout = 1800 * time.Millisecond
)

// transferProgress detects whether a transfer stalls.
type transferProgress struct {
	key pieces.Key
	// missing is the last number of missing pieces, -1 before the manifest was known;
	// since is the time of its last change.
	missing int
	since   time.Time
}

// update records how many pieces of a version are missing.
func (p *transferProgress) update(key pieces.Key, missing int, now time.Time) {
	if key != p.key || missing != p.missing || missing == 0 {
		*p = transferProgress{key: key, missing: missing, since: now}
	}
}

// stalled reports whether the transfer has made no progress for too long.
func (p *transferProgress) stalled(now time.Time) bool {
	timeout := stallTimeout
	if p.missing < 0 {
		timeout = manifestStallTimeout
	}
	return now.Sub(p.since) >= timeout
}

// stallTimes holds when the transfer of a version last stalled or failed.
type stallTimes map[pieces.Key]time.Time

// leastRecentlyStalled returns the version whose transfer never stalled or stalled
// longest ago; among equals, the first of versions.
func (s stallTimes) leastRecentlyStalled(model string, versions []int) pieces.Key {
	best := pieces.Key{Model: model, Version: versions[0]}
	for _, v := range versions[1:] {
		if k := (pieces.Key{Model: model, Version: v}); s[k].Before(s[best]) {
			best = k
		}
	}
	return best
}

// record records that the transfer of k stalled and removes the model's versions
// that are not in versions.
func (s stallTimes) record(k pieces.Key, now time.Time, versions []int) {
	s[k] = now
	for old := range s {
		if old.Model == k.Model && !slices.Contains(versions, old.Version) {
			delete(s, old)
		}
	}
}
