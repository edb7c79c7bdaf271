package placement

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// engines is a service of model engines as the platform's sites have them.
var engines = Config{Zone: "a", ReadPerSecond: 19100}

func servers(n, slots int) []Server {
	var list []Server
	for i := range n {
		list = append(list, Server{ID: fmt.Sprint("s", i), Address: fmt.Sprint(i), Zone: "a", Slots: slots, Usable: true})
	}
	return list
}

func newPool(cfg Config, list []Server, share float64) *Pool {
	p := NewPool(cfg)
	p.Update(at(0), cfg, list, share)
	return p
}

// takeAll takes places until none is left.
func takeAll(p *Pool, now time.Time, req Request) []*Lease {
	var leases []*Lease
	for {
		l := p.Take(now, req)
		if l == nil {
			return leases
		}
		p.Began(now, l)
		leases = append(leases, l)
	}
}

func TestEntriesShareTheSlots(t *testing.T) {
	const count, slots = 11, 16
	whole := len(takeAll(newPool(engines, servers(count, slots), 1), at(0), Request{Prompt: 100}))
	if whole != count*slots {
		t.Errorf("one entry filled %d places of %d", whole, count*slots)
	}
	sum := 0
	for _, share := range []float64{0.15, 0.25, 0.3, 0.3} {
		sum += len(takeAll(newPool(engines, servers(count, slots), share), at(0), Request{Prompt: 100}))
	}
	if sum > count*slots+2 {
		t.Errorf("four entries filled %d places of %d", sum, count*slots)
	}
}

func TestPlacesAreSpread(t *testing.T) {
	p := newPool(engines, servers(4, 16), 1)
	seen := map[string]int{}
	for range 20 {
		l := p.Take(at(0), Request{Prompt: 1000})
		p.Began(at(0), l)
		seen[l.Server.ID]++
	}
	for id, n := range seen {
		if n != 5 {
			t.Errorf("%s got %d of 20", id, n)
		}
	}
}

func TestPromptsThatWouldStopEventsWait(t *testing.T) {
	p := newPool(engines, servers(1, 16), 1)
	limit := int(engines.ReadPerSecond * maxReading.Seconds())
	sent := 0
	for l := p.Take(at(0), Request{Prompt: 1000}); l != nil; l = p.Take(at(0), Request{Prompt: 1000}) {
		sent += 1000
	}
	if sent > limit || sent < limit-1000 {
		t.Errorf("%d prompt tokens were sent at once, the limit is %d", sent, limit)
	}
	if p.Take(at(0), Request{Prompt: 1000}) != nil {
		t.Error("a prompt went beyond the limit")
	}
}

func TestLongPromptGoesToAServerThatReadsNothing(t *testing.T) {
	p := newPool(engines, servers(1, 16), 1)
	if p.Take(at(0), Request{Prompt: 1 << 20}) == nil {
		t.Error("a prompt above the limit never finds a place")
	}
}

func TestUnusableServersGetNothing(t *testing.T) {
	list := servers(2, 16)
	list[0].Usable = false
	for _, l := range takeAll(newPool(engines, list, 1), at(0), Request{}) {
		if l.Server.ID == "s0" {
			t.Fatal("a server that leaves got a request")
		}
	}
}

func TestFailingServerIsLeftOutAndTriedAgain(t *testing.T) {
	p := newPool(engines, servers(2, 16), 1)
	for range 4 {
		l := p.Take(at(0), Request{})
		o := Served
		if l.Server.ID == "s0" {
			o = Stalled
		}
		p.Done(at(0), l, o)
	}
	for _, l := range takeAll(p, at(10), Request{}) {
		if l.Server.ID == "s0" {
			t.Fatal("a server that stalled got a request at once")
		}
		defer p.Done(at(10), l, Served)
	}
	later := at(10).Add(maxLeftOut)
	trials := 0
	for _, l := range takeAll(p, later, Request{}) {
		if l.Server.ID == "s0" {
			trials++
		}
	}
	if trials != 1 {
		t.Errorf("%d requests try a server that stalled", trials)
	}
}

func TestOutdatedServerThatStalledIsNotTriedAgain(t *testing.T) {
	list := servers(1, 16)
	list[0].Until = at(0).Add(time.Hour)
	p := newPool(engines, list, 1)
	p.Done(at(0), p.Take(at(0), Request{}), Stalled)
	if p.Take(at(0).Add(2*maxLeftOut), Request{}) != nil {
		t.Error("a request could reach old weights after they may not be used any more")
	}
	list[0].Until = time.Time{}
	p.Update(at(0), engines, list, 1)
	if p.Take(at(0).Add(2*maxLeftOut), Request{}) == nil {
		t.Error("the server is not tried with the newest weights")
	}
}

func TestSlowServerGetsOneRequestAtATime(t *testing.T) {
	const aim = 400 * time.Millisecond
	p := newPool(engines, servers(2, 16), 1)
	now := at(0)
	serve := func(took map[string]time.Duration) map[string]int {
		seen := map[string]int{}
		for range 8 {
			l := p.Take(now, Request{Prompt: 100, Aim: aim})
			seen[l.Server.ID]++
			now = now.Add(took[l.Server.ID])
			p.Began(now, l)
			p.Done(now, l, Served)
		}
		return seen
	}
	serve(map[string]time.Duration{"s0": 900 * time.Millisecond, "s1": 100 * time.Millisecond})
	for _, l := range takeAll(p, now, Request{Prompt: 100, Aim: aim}) {
		defer p.Done(now, l, Served)
		if l.Server.ID == "s0" && l.state.own > 1 {
			t.Fatal("a slow server got several requests")
		}
	}
}

func TestServerWithAnOverdueEventGetsNothingMore(t *testing.T) {
	const aim = 400 * time.Millisecond
	p := newPool(engines, servers(1, 16), 1)
	if p.Take(at(0), Request{Aim: aim}) == nil || p.Take(at(100), Request{Aim: aim}) == nil {
		t.Fatal("a sound server got nothing")
	}
	if p.Take(at(700), Request{Aim: aim}) != nil {
		t.Error("a server that sent no event for long got another request")
	}
}

func TestNothingIsSentThatCouldBeginOnExpiredWeights(t *testing.T) {
	list := servers(1, 16)
	list[0].Until = at(8000)
	p := newPool(engines, list, 1)
	if p.Take(at(5900), Request{}) == nil {
		t.Error("a sound server is not used well before the end")
	}
	if p.Take(at(6100), Request{}) != nil || p.Usable(at(6100)) {
		t.Error("a request could begin after the end")
	}
	slow := p.Take(at(0), Request{Aim: 2 * time.Second})
	p.Began(at(500), slow)
	if p.Take(at(5500), Request{}) != nil {
		t.Error("a request could begin after the end behind a narrow link")
	}
}

func TestWaitingRequestsGetFreedPlaces(t *testing.T) {
	p := newPool(engines, servers(1, 2), 1)
	leases := takeAll(p, at(0), Request{})
	var order []string
	wait := func(name string, req Request) {
		req.WaitUntil = at(200)
		w := &Waiter{Req: req, Grant: func(*Lease) { order = append(order, name) }}
		if !p.Wait(at(0), w) {
			t.Fatalf("%s was refused", name)
		}
	}
	wait("late", Request{Late: true})
	wait("on time", Request{})
	wait("urgent", Request{Priority: -1})
	for _, l := range leases {
		p.Done(at(1), l, Served)
	}
	if fmt.Sprint(order) != fmt.Sprint([]string{"urgent", "on time"}[:len(order)]) || len(order) != len(leases) {
		t.Errorf("order %v for %d places", order, len(leases))
	}
}

func TestBegunStreamsGetFreedPlacesFirst(t *testing.T) {
	p := newPool(engines, servers(1, 1), 1)
	l := p.Take(at(0), Request{})
	var order []string
	for name, req := range map[string]Request{
		"new": {WaitUntil: at(300)}, "urgent": {WaitUntil: at(300), Priority: -1},
		"begun": {WaitUntil: at(400), Begun: true, Late: true},
	} {
		w := &Waiter{Req: req, Grant: func(*Lease) { order = append(order, name) }}
		if !p.Wait(at(0), w) {
			t.Fatalf("%s was refused", name)
		}
	}
	p.Done(at(1), l, Served)
	if len(order) != 1 || order[0] != "begun" {
		t.Errorf("the freed place went to %v", order)
	}
}

func TestRequestThatCantBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	p := newPool(engines, servers(1, 2), 1)
	now := at(0)
	// Places become free every 100 ms.
	for range 50 {
		l := p.Take(now, Request{})
		now = now.Add(100 * time.Millisecond)
		p.Done(now, l, Served)
	}
	takeAll(p, now, Request{})
	admitted := 0
	for range 10 {
		w := &Waiter{Req: Request{WaitUntil: now.Add(350 * time.Millisecond)}, Grant: func(*Lease) {}}
		if p.Wait(now, w) {
			admitted++
		}
	}
	if admitted < 2 || admitted > 4 {
		t.Errorf("%d requests wait where three places become free in time", admitted)
	}
}

func TestRefusedRequestsComeBackAfterPlacesTurnedOver(t *testing.T) {
	p := newPool(engines, servers(1, 2), 1)
	if back := p.ComeBackIn(); back <= 0 {
		t.Errorf("told to come back in %v", back)
	}
	now := at(0)
	for range 60 {
		l := p.Take(now, Request{})
		now = now.Add(1700 * time.Millisecond)
		p.Done(now, l, Served)
	}
	if back := p.ComeBackIn(); back < 1600*time.Millisecond || back > 1700*time.Millisecond {
		t.Errorf("places are kept for 1.7 s, told to come back in %v", back)
	}
}

func TestNothingWaitsWithoutAServer(t *testing.T) {
	p := NewPool(engines)
	if p.Wait(at(0), &Waiter{Req: Request{WaitUntil: at(100)}}) {
		t.Error("a request waits although no server exists")
	}
}
