package raft

import "fmt"

// log is the part of the replicated log that is kept in memory: all entries
// after base. The invariant is base <= applied <= committed <= last, and
// stable <= last.
type log struct {
	// baseIndex and baseTerm are those of the entry before entries[0], which
	// a snapshot holds or compaction dropped.
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// committed is the highest index known to be committed.
	committed uint64
	// applied is the highest index handed to the state machine.
	applied uint64
	// stable is the highest index on this replica's disk.
	stable uint64
}

func (l *log) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index; false when it is not held.
func (l *log) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.baseIndex-1].Term, true
	}
}

func (l *log) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends in (index, term) holds at least
// what l holds, as far as elections care.
func (l *log) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}

// slice returns the entries lo <= index <= hi.
func (l *log) slice(lo, hi uint64) []Entry {
	if lo > hi || hi > l.last() {
		return nil
	}
	return l.entries[lo-l.baseIndex-1 : hi-l.baseIndex]
}

// limited returns entries from lo on, at least one and at most maxBytes.
func (l *log) limited(lo uint64, maxBytes int) []Entry {
	entries := l.slice(lo, l.last())
	size := 0
	for i := range entries {
		size += entries[i].size()
		if i > 0 && size > maxBytes {
			return entries[:i]
		}
	}
	return entries
}

// push adds entries after the last one.
func (l *log) push(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on. A committed entry never goes.
func (l *log) truncate(index uint64) {
	if index <= l.committed {
		panic(fmt.Sprintf("raft: truncation at %d, committed is %d", index, l.committed))
	}
	// The slice is copied: messages and Ready values still refer to the old one.
	l.entries = append([]Entry(nil), l.entries[:index-l.baseIndex-1]...)
	l.stable = min(l.stable, index-1)
}

// conflict returns the first of entries that l lacks or holds with another
// term, as an offset; len(entries) when there is none.
func (l *log) conflict(entries []Entry) int {
	for i := range entries {
		if !l.matches(entries[i].Index, entries[i].Term) {
			return i
		}
	}
	return len(entries)
}

// highestBelow returns the highest index that is at most index and whose term
// is at most term. Two logs can't match between there and index.
func (l *log) highestBelow(index, term uint64) (uint64, uint64) {
	for i := min(index, l.last()); i > l.baseIndex; i-- {
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

// retained returns the index up to which the log may be compacted when at most
// count entries and maxBytes are to stay before the applied index.
func (l *log) retained(count, maxBytes int) uint64 {
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
