package bound

import (
	"testing"
	"time"
)

const (
	span = 40 * time.Second
	seed = 20261204
)

// share returns what a policy earns of what can be earned at most.
func share(t *testing.T, s *Site, load float64, policy Policy) float64 {
	t.Helper()
	all := s.Traffic(span, load, seed)
	limit := s.Limit(all)
	o := Play(s, all, policy)
	t.Logf("%s at %.2f, %T: %.3f of the limit (%.3f of what is owed); %d on time, %d late, %d refused",
		s.Name, load, policy, o.Earned/limit, o.Earned/Owed(all), o.OnTime, o.Late, o.Refused)
	return o.Earned / limit
}

// The platform fails a day on which the largest tenth of a kind of request is
// served less than half as often as the whole kind; three quarters keeps clear.
func TestLargeRequestsGetTheirPart(t *testing.T) {
	for i := range Sites {
		s := &Sites[i]
		for _, load := range []float64{0.5, 0.8, 1, 1.2} {
			all := s.Traffic(span, load, seed)
			o := Play(s, all, NewPools(s))
			whole := o.Earned / Owed(all)
			t.Logf("%s at %.2f: the largest tenth earns %.3f of its worth, all earn %.3f", s.Name, load, o.Largest, whole)
			if o.Largest < 0.75*whole {
				t.Errorf("%s at %.2f: the largest tenth earns %.3f of its worth, all earn %.3f", s.Name, load, o.Largest, whole)
			}
		}
	}
}

func TestPlacementIsNearTheLimit(t *testing.T) {
	for i := range Sites {
		s := &Sites[i]
		for _, load := range []float64{0.5, 0.7, 0.9, 1.2} {
			got := share(t, s, load, NewPools(s))
			share(t, s, load, &RoundRobin{})
			naive := share(t, s, load, &LeastLoad{})
			if got > 1 {
				t.Errorf("%s at %.2f: %.3f of what is called the limit", s.Name, load, got)
			}
			if load >= 0.9 && got < 2*naive {
				t.Errorf("%s at %.2f: placing and refusing earns %.3f, sending all to the least loaded %.3f", s.Name, load, got, naive)
			}
		}
	}
}
