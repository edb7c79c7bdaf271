package retry

import "testing"

func TestRetriesStayWithinTheirShare(t *testing.T) {
	b := NewBudget()
	retries := 0
	const requests = 10000
	for range requests {
		b.Request(0.1)
		for range 3 {
			if b.Retry() {
				retries++
			}
		}
	}
	if limit := requests/10 + reserve; retries > limit || retries < limit-2 {
		t.Errorf("%d retries for %d requests", retries, requests)
	}
}
