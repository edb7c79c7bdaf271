package observation

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// FuzzApply passes the records of another process to a store.
func FuzzApply(f *testing.F) {
	for _, records := range [][]Record{
		{{Kind: Limit, Key: "i-1", Origin: "a", Seq: 1, Age: 10, TTL: 1000, Body: []byte{1}}},
		{{Kind: Limit, Key: "i-1", Origin: "a", Seq: 1, Age: -1, TTL: 1000}, {Kind: Limit, Key: "i-1", Origin: "a", TTL: 1000}},
		{{Kind: Leaving, Age: math.MaxInt64, TTL: math.MaxInt64}, {Kind: Alive, Age: math.MaxInt64 / 1_000_000, TTL: math.MaxInt64 / 1_000_000}},
		{{Kind: Proven, Age: math.MinInt64, TTL: math.MinInt64}, {Kind: Limit, Age: maxMilliseconds, TTL: maxMilliseconds + 1}},
	} {
		data, err := cbor.Marshal(records)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var records []Record
		if cbor.Unmarshal(data, &records) != nil {
			return
		}
		clock, age := newClock()
		clock.Advance(time.Hour)
		s := NewStore()
		now := age.Now()
		for _, r := range s.Apply(records, now) {
			if r.At.After(now) || r.TTL <= 0 || now.Sub(r.At).Milliseconds() >= r.TTL {
				t.Errorf("age %d ms, TTL %d ms: observed %v ago", r.Age, r.TTL, now.Sub(r.At))
			}
		}
		held := s.All(now)
		for _, r := range held {
			if s.Len(r.Kind) > maxRecords || r.Age < 0 {
				t.Errorf("%d records of kind %d, age %d", s.Len(r.Kind), r.Kind, r.Age)
			}
		}
		if other := NewStore(); len(other.Apply(held, now)) != len(held) {
			t.Errorf("another store doesn't take the %d records that this one holds", len(held))
		}
	})
}
