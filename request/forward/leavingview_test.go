package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingpost/waxwingpost/process/deployment"
	"github.com/waxwingpost/waxwingpost/process/observation"
	"github.com/waxwingpost/waxwingpost/request/serverlimit"
)

func TestServerThatLeavesGetsNoNewRequestsWhenItIsListedAgain(t *testing.T) {
	s1 := newFakeServer(t, "s1", func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Leaving", "1")
		echo(s, w, r)
	})
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s1, newFakeServer(t, "s2", echo))
	e.relistFirst(t, 5)
	if n := s1.receivedCount(); n != 1 {
		t.Errorf("the server got %d requests, want 1", n)
	}
}

func TestLimitOfAServerHoldsWhenItIsListedAgain(t *testing.T) {
	s1 := newFakeServer(t, "s1", func(s *fakeServer, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Limit", "0.3")
		echo(s, w, r)
	})
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s1, newFakeServer(t, "s2", echo))
	e.relistFirst(t, 12)
	if n := s1.receivedCount(); n > 5 {
		t.Errorf("a server with a limit of 0.3 a second got %d requests at once, want at most 5", n)
	}
}

func TestServersThatAreNoLongerListedAreForgottenLater(t *testing.T) {
	s1 := newFakeServer(t, "s1", echo)
	e := newTestEntry(t, testConfig(deployment.Repeatable, testTimeout), s1)
	clock := clockwork.NewFakeClock()
	sc := e.handler.scheduler
	sc.clock = clock
	gone := "gone/1"
	e.handler.ApplyObservations([]observation.Record{{Kind: observation.Leaving, Key: gone}})
	sc.recordLimit(gone, serverlimit.Statement{Limit: 1, Named: true}, e.handler.ageClock.Now())
	for _, step := range []struct {
		after time.Duration
		kept  int
	}{{0, 1}, {statementTTL - time.Second, 1}, {2 * time.Second, 0}} {
		clock.Advance(step.after)
		e.handler.Update(e.handler.View())
		if len(sc.leaving) != step.kept || sc.limits.Len() != step.kept {
			t.Errorf("after %v: %d leaving servers and %d limits, want %d", step.after, len(sc.leaving), sc.limits.Len(), step.kept)
		}
	}
	if len(sc.unlisted) > 2 {
		t.Errorf("%d servers that are not listed are remembered", len(sc.unlisted))
	}
}
