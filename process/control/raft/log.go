package raft

import "fmt"

// log is the part of the replicated log that is kept in memory: all entries
// after baseIndex. The invariant is baseIndex <= applied <= committed <=
// lastIndex, and stable <= lastIndex.
type log struct {
	// baseIndex and baseTerm are the position of the entry before entries[0],
	// which is covered by a snapshot or was dropped by compaction.
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// committed is the highest index known to be committed.
	committed uint64
	// applied is the highest index applied to the state machine.
	applied uint64
	// stable is the highest index on this replica's disk.
	stable uint64
}

func (l *log) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, or false if the log does not
// contain it.
func (l *log) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.baseIndex-1].Term, true
	}
}

func (l *log) matchTerm(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// isUpToDate reports whether a candidate's log that ends at (index, term) is at
// least as up to date as l.
func (l *log) isUpToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.lastIndex())
}

// slice returns the entries with lo <= index <= hi.
func (l *log) slice(lo, hi uint64) []Entry {
	if lo > hi || hi > l.lastIndex() {
		return nil
	}
	return l.entries[lo-l.baseIndex-1 : hi-l.baseIndex]
}

// sliceLimited returns the entries from lo on, limited to maxBytes but at least
// one.
func (l *log) sliceLimited(lo uint64, maxBytes int) []Entry {
	entries := l.slice(lo, l.lastIndex())
	size := 0
	for i := range entries {
		size += entries[i].size()
		if i > 0 && size > maxBytes {
			return entries[:i]
		}
	}
	return entries
}

// append adds entries after the last one.
func (l *log) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on. Committed entries must not be
// dropped.
func (l *log) truncate(index uint64) {
	if index <= l.committed {
		panic(fmt.Sprintf("raft: truncation at %d, committed is %d", index, l.committed))
	}
	// Copy the slice, as messages and Ready values still refer to the old one.
	l.entries = append([]Entry(nil), l.entries[:index-l.baseIndex-1]...)
	l.stable = min(l.stable, index-1)
}

// firstConflict returns the offset of the first entry that l does not contain or
// contains with another term, or len(entries) if there is none.
func (l *log) firstConflict(entries []Entry) int {
	for i := range entries {
		if !l.matchTerm(entries[i].Index, entries[i].Term) {
			return i
		}
	}
	return len(entries)
}

// findConflictByTerm returns the highest entry whose index is at most index and
// whose term is at most term. Two logs can't match between that entry and index.
func (l *log) findConflictByTerm(index, term uint64) (uint64, uint64) {
	for i := min(index, l.lastIndex()); i > l.baseIndex; i-- {
		if t, _ := l.term(i); t <= term {
			return i, t
		}
	}
	return l.baseIndex, l.baseTerm
}

// reset replaces the whole log by a snapshot.
func (l *log) reset(index, term uint64) {
	*l = log{baseIndex: index, baseTerm: term, committed: index, applied: index, stable: index}
}

// compact drops the entries up to index.
func (l *log) compact(index uint64) {
	if index <= l.baseIndex || index > l.applied {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

// compactionIndex returns the index up to which the log may be compacted if at
// most count entries and maxBytes up to the applied index are retained.
func (l *log) compactionIndex(count, maxBytes int) uint64 {
	index, size := l.applied, 0
	for index > l.baseIndex && l.applied-index < uint64(count) {
		size += l.entries[index-l.baseIndex-1].size()
		if size > maxBytes {
			break
		}
		index--
	}
	return index
}
