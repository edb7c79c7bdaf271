package state

// vmTime is the last time that a VM stamped on a command.
type vmTime struct {
	VM    string `cbor:"1,keyasint"`
	Time  int64  `cbor:"2,keyasint"`
	Index uint64 `cbor:"3,keyasint"`
}

// activeEntries is how many log entries a VM counts as active for after its
// last command; maxTimedVMs bounds the table.
const (
	activeEntries = 4096
	maxTimedVMs   = 64
)

// clockTable derives one time from the stamps of all VMs. It is the second
// highest stamp among the active VMs, so that one VM whose clock runs ahead
// ages no record; it never runs backwards. Nothing but the age of records
// rests on it.
type clockTable struct {
	now int64
	// vms is kept in the order of the VMs' last commands, the latest last.
	vms []vmTime
}

func newClockTable() *clockTable {
	return &clockTable{}
}

func (c *clockTable) advance(vm string, stamp int64, index uint64) {
	for i, v := range c.vms {
		if v.VM == vm {
			stamp = max(stamp, v.Time)
			c.vms = append(c.vms[:i], c.vms[i+1:]...)
			break
		}
	}
	c.vms = append(c.vms, vmTime{VM: vm, Time: stamp, Index: index})
	for len(c.vms) > maxTimedVMs || c.vms[0].Index+activeEntries < index {
		c.vms = c.vms[1:]
	}
	c.now = max(c.now, c.secondHighest())
}

func (c *clockTable) secondHighest() int64 {
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
