package raft

// sendState says how the leader sends entries to a replica.
type sendState uint8

const (
	// probing sends one append at a time until the logs are known to match.
	probing sendState = iota
	// replicating sends appends without waiting for earlier acknowledgements.
	replicating
	// sendingSnapshot sends nothing until the snapshot was delivered or failed.
	sendingSnapshot
)

// progress is the leader's replication state for one replica.
type progress struct {
	state sendState
	// match is the highest index known to be on the replica's disk.
	match uint64
	// next is the index of the next entry to send; match < next.
	next uint64
	// paused stops sending in state probing until the replica replies.
	paused bool
	// inFlight holds the last index of each unacknowledged append, in order.
	inFlight []uint64
	// lastReply is the tick of the replica's last reply.
	lastReply uint64
	// round is the latest read round confirmed by the replica.
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

func (p *progress) becomeSendingSnapshot() {
	p.state = sendingSnapshot
	p.paused = false
	p.inFlight = p.inFlight[:0]
}

// blocked reports whether flow control currently prevents sending.
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

// recordSend records an append of count entries that ends at index last.
func (p *progress) recordSend(last uint64, count int) {
	if p.state == probing {
		p.paused = true
		return
	}
	if count > 0 {
		p.next = last + 1
		p.inFlight = append(p.inFlight, last)
	}
}

// recordAck records that the replica has all entries up to index on disk. It
// reports whether match increased.
func (p *progress) recordAck(index uint64) bool {
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

// handleReject handles the rejection of the append after index; hint is the
// index that may match. It reports whether the rejection is current, rather than
// that of an outdated append.
func (p *progress) handleReject(index, hint uint64) bool {
	if p.state == sendingSnapshot {
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
