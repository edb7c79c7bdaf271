package raft

// sendState says how the leader sends entries to a replica.
type sendState uint8

const (
	// probing sends one append at a time until the logs are known to match.
	probing sendState = iota
	// replicating sends ahead of the acknowledgements.
	replicating
	// installing waits for a snapshot to arrive.
	installing
)

// progress is what the leader knows of one replica.
type progress struct {
	state sendState
	// match is the highest index known to be on the replica's disk.
	match uint64
	// next is the index of the next entry to send; match < next.
	next uint64
	// paused is set in state probing while an append is unanswered.
	paused bool
	// inFlight holds the last index of each unanswered append, in order.
	inFlight []uint64
	// heard is the tick at which the replica last answered.
	heard uint64
	// round is the latest round that the replica confirmed.
	round uint64
}

func (p *progress) becomeProbing(next uint64) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.paused = false
	p.inFlight = p.inFlight[:0]
}

func (p *progress) becomeReplicating() {
	p.state = replicating
	p.next = p.match + 1
	p.paused = false
	p.inFlight = p.inFlight[:0]
}

func (p *progress) becomeInstalling() {
	p.state = installing
	p.paused = false
	p.inFlight = p.inFlight[:0]
}

// blocked reports whether nothing more may be sent for now.
func (p *progress) blocked(maxInFlight int) bool {
	switch p.state {
	case probing:
		return p.paused
	case replicating:
		return len(p.inFlight) >= maxInFlight
	default:
		return true
	}
}

// sent notes an append of count entries that ends at last.
func (p *progress) sent(last uint64, count int) {
	if p.state == probing {
		p.paused = true
		return
	}
	if count > 0 {
		p.next = last + 1
		p.inFlight = append(p.inFlight, last)
	}
}

// acked notes that the replica holds everything up to index and reports
// whether that is news.
func (p *progress) acked(index uint64) bool {
	for len(p.inFlight) > 0 && p.inFlight[0] <= index {
		p.inFlight = p.inFlight[1:]
	}
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	p.paused = false
	return true
}

// rejected notes that the append after index was refused and reports whether
// the refusal is current. hint is the index that may match.
func (p *progress) rejected(index, hint uint64) bool {
	if p.state == installing {
		return false
	}
	if p.state == replicating {
		if index <= p.match {
			return false
		}
		p.becomeProbing(p.match + 1)
		return true
	}
	if p.next-1 != index {
		return false
	}
	p.becomeProbing(min(index, hint+1))
	return true
}
