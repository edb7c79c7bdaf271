package state

// vmTime is the latest time that a VM has put in a command.
type vmTime struct {
	VM    string `cbor:"1,keyasint"`
	Time  int64  `cbor:"2,keyasint"`
	Index uint64 `cbor:"3,keyasint"`
}

// activeWindow is the number of log entries for which a VM counts as active
// after its last command; maxClockVMs bounds the table.
const (
	activeWindow = 4096
	maxClockVMs  = 64
)

// replicatedClock derives a common time from the timestamps in commands. It is
// the second highest timestamp among the active VMs, so that a single VM whose
// clock is ahead does not expire records. It never goes backwards. It is used
// only to expire records.
type replicatedClock struct {
	now int64
	// vms is ordered by the VMs' last commands, the most recent last.
	vms []vmTime
}

func newReplicatedClock() *replicatedClock {
	return &replicatedClock{}
}

func (c *replicatedClock) advance(vm string, timestamp int64, index uint64) {
	for i, v := range c.vms {
		if v.VM == vm {
			timestamp = max(timestamp, v.Time)
			c.vms = append(c.vms[:i], c.vms[i+1:]...)
			break
		}
	}
	c.vms = append(c.vms, vmTime{VM: vm, Time: timestamp, Index: index})
	for len(c.vms) > maxClockVMs || c.vms[0].Index+activeWindow < index {
		c.vms = c.vms[1:]
	}
	c.now = max(c.now, c.secondHighest())
}

func (c *replicatedClock) secondHighest() int64 {
	if len(c.vms) == 1 {
		return c.vms[0].Time
	}
	first, second := c.vms[0].Time, c.vms[1].Time
	if first < second {
		first, second = second, first
	}
	for _, v := range c.vms[2:] {
		switch {
		case v.Time > first:
			first, second = v.Time, first
		case v.Time > second:
			second = v.Time
		}
	}
	return second
}
