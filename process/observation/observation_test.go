package observation

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/process/boottime"
)

func newClock() (*clockwork.FakeClock, boottime.Clock) {
	clock := clockwork.NewFakeClock()
	return clock, boottime.NewFake(clock)
}

func TestStoresAgreeInWhateverOrderRecordsArrive(t *testing.T) {
	clock, age := newClock()
	sender := NewStore()
	p := NewPublisher(sender, "a")
	var batches [][]Record
	for i := range 4 {
		p.Publish(BrokenOff, "s1", []byte{byte(i)}, age.Now(), time.Minute, age.Now())
		batches = append(batches, p.Take(age.Now()))
		clock.Advance(time.Second)
	}
	for name, order := range map[string][]int{"in order": {0, 1, 2, 3}, "reversed": {3, 2, 1, 0}, "repeated": {1, 3, 1, 0, 3, 2}} {
		s := NewStore()
		for _, i := range order {
			s.Apply(batches[i], age.Now())
		}
		if all := s.All(age.Now()); len(all) != 1 || all[0].Body[0] != 3 {
			t.Errorf("%s: got %v, want the last record", name, all)
		}
	}
}

func TestRecordKeepsItsAgeOnItsWayAndExpires(t *testing.T) {
	clock, age := newClock()
	a, b := NewStore(), NewStore()
	p := NewPublisher(a, "a")
	observed := age.Now()
	clock.Advance(300 * time.Millisecond)
	p.Publish(Alive, "s1", nil, observed, 2*time.Second, age.Now())
	clock.Advance(time.Second)
	added := b.Apply(p.Take(age.Now()), age.Now())
	if len(added) != 1 || added[0].At != observed {
		t.Fatalf("got %v, want a record of %v", added, observed)
	}
	if again := b.Apply(p.Own(age.Now()), age.Now()); len(again) != 0 {
		t.Errorf("the same record was added again: %v", again)
	}
	clock.Advance(time.Second)
	b.Sweep(age.Now())
	if b.Len(Alive) != 0 || len(a.All(age.Now())) != 0 {
		t.Error("an expired record is still held")
	}
}

func TestRecordsOfOneKindDoNotDisplaceOthers(t *testing.T) {
	clock, age := newClock()
	s := NewStore()
	p := NewPublisher(s, "a")
	p.Publish(Quarantine, "part", nil, age.Now(), time.Hour, age.Now())
	for i := range 3 * maxRecords {
		clock.Advance(time.Millisecond)
		p.Publish(Proven, fmt.Sprint(i), nil, age.Now(), time.Hour, age.Now())
	}
	if s.Len(Proven) != maxRecords || s.Len(Quarantine) != 1 {
		t.Errorf("the store holds %d and %d records, want %d and 1", s.Len(Proven), s.Len(Quarantine), maxRecords)
	}
	all := s.Select(age.Now(), func(id ID) bool { return id.Key == fmt.Sprint(3*maxRecords-1) })
	if len(all) != 1 {
		t.Error("the latest record made room")
	}
	if got := s.Apply([]Record{{Kind: Alive, Key: string(make([]byte, maxKeyBytes+1)), Origin: "b", Seq: 1, TTL: 1000}}, age.Now()); len(got) != 0 {
		t.Error("a record with a long key was added")
	}
}

// maxMilliseconds is the greatest number of milliseconds that a time.Duration holds.
const maxMilliseconds = math.MaxInt64 / int64(time.Millisecond)

func TestRecordWhoseTimesOverflowIsIgnored(t *testing.T) {
	_, age := newClock()
	for _, r := range []Record{
		{Kind: Limit, Key: "s1", Age: maxMilliseconds, TTL: maxMilliseconds + 1},
		{Kind: Limit, Key: "s1", Age: 1, TTL: math.MaxInt64},
		{Kind: Limit, Key: "s1", Age: maxMilliseconds + 2, TTL: 1000},
	} {
		if added := NewStore().Apply([]Record{r}, age.Now()); len(added) != 0 {
			t.Errorf("age %d ms, TTL %d ms: applied as observed at %v", r.Age, r.TTL, added[0].At)
		}
	}
}
