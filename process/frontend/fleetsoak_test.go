package frontend

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// fleetSoakSeeds is the default number of seeds; seedsVariable and seedVariable
	// override it as for the soak of one entry.
	fleetSoakSeeds  = 2
	fleetSoakLength = 11 * time.Second
)

// fleetSoak is one run: engines that crash on a part of a prompt and on a request that comes
// again, engines that name limits, and processes that restart meanwhile.
type fleetSoak struct {
	f   *fleet
	rng *rand.Rand
	// up holds whether each entry takes requests.
	up      []atomic.Bool
	traffic crashTraffic
	limits  map[int]float64
	named   time.Time
	// repeated is set if a request that crashes engines comes again and again.
	repeated bool
}

// entry returns an entry that takes requests.
func (s *fleetSoak) entry(rng *rand.Rand) *fleetEntry {
	for {
		if i := rng.IntN(len(s.f.entries)); s.up[i].Load() {
			return s.f.entries[i]
		}
	}
}

func (s *fleetSoak) sendSound(rng *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		settled := s.traffic.settled()
		status := s.entry(rng).send("system", fmt.Sprint("topic", rng.IntN(10)))
		s.traffic.count(settled, status)
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
}

func (s *fleetSoak) sendBad(rng *rand.Rand, interval time.Duration, end time.Time) {
	var senders sync.WaitGroup
	defer senders.Wait()
	for time.Now().Before(end) {
		parts := []string{"system", "crashing"}
		if rng.IntN(3) == 0 {
			parts = []string{"crashing", fmt.Sprint("topic", rng.IntN(10))}
		}
		e := s.entry(rng)
		senders.Go(func() { e.send(parts...) })
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(interval)))
	}
}

// sendRepeated sends the request that crashes engines.
func (s *fleetSoak) sendRepeated(rng *rand.Rand, interval time.Duration, end time.Time) {
	var senders sync.WaitGroup
	defer senders.Wait()
	for time.Now().Before(end) {
		e := s.entry(rng)
		senders.Go(func() { e.sendTo(s.f.engines[0].behavior.crashPath) })
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(interval)))
	}
}

// restart restarts one entry and one control process after the other.
func (s *fleetSoak) restart(rng *rand.Rand, end time.Time) {
	for time.Until(end) > 3*time.Second {
		time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
		if rng.IntN(2) == 0 {
			i := rng.IntN(fleetControls)
			s.f.stopControl[i]()
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			s.f.startControl(i, false)
			continue
		}
		i := rng.IntN(len(s.f.entries))
		s.up[i].Store(false)
		s.f.entries[i].stop()
		s.f.entries[i].start()
		s.f.entries[i].awaitService()
		s.up[i].Store(true)
	}
}

func (s *fleetSoak) play(seed uint64) {
	end := time.Now().Add(fleetSoakLength)
	var tasks sync.WaitGroup
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	for i := range uint64(8) {
		tasks.Go(func() { s.sendSound(stream(10+i), end) })
	}
	interval := time.Duration(50+s.rng.IntN(600)) * time.Millisecond
	tasks.Go(func() { s.sendBad(stream(2), interval, end) })
	if s.repeated {
		rng := stream(4)
		tasks.Go(func() { s.sendRepeated(rng, time.Duration(50+rng.IntN(900))*time.Millisecond, end) })
	}
	tasks.Go(func() { s.restart(stream(3), end) })
	time.Sleep(time.Duration(500+s.rng.IntN(1500)) * time.Millisecond)
	for i, limit := range s.limits {
		s.f.engines[i].setLimit(strconv.FormatFloat(limit, 'f', -1, 64))
	}
	s.named = time.Now()
	tasks.Wait()
}

func (s *fleetSoak) check(t *testing.T) {
	const window = 4 * time.Second
	crashes := s.f.crashTimes("crashing")
	sound, served := s.traffic.sound.Load(), s.traffic.served.Load()
	t.Logf("%d entries, %d engines, limits %v, %d crashes, %d of %d sound requests served", len(s.f.entries), len(s.f.engines), s.limits, len(crashes), served, sound)
	if len(crashes) >= 5 {
		if n := countAfter(s.f.arrivalTimes("crashing"), crashes[4].Add(contactTime)); n > 3 {
			t.Errorf("%d requests with the part reached servers later than %v after the fifth crash, want at most 3", n, contactTime)
		}
		if 2*served < sound {
			t.Errorf("%d of %d sound requests were served afterwards", served, sound)
		}
	}
	path := s.f.engines[0].behavior.crashPath
	if crashes := s.f.crashTimes(path); len(crashes) >= 3 {
		n := countAfter(s.f.arrivalTimes(path), crashes[2].Add(contactTime))
		t.Logf("%d crashes by the repeated request, %d later retries", len(crashes), n)
		if n > maxLateRetries {
			t.Errorf("%d retries reached servers later than %v after the third crash, want at most %d", n, contactTime, maxLateRetries)
		}
	}
	for i, limit := range s.limits {
		allowed := int(1.5*limit*window.Seconds() + 5)
		if n := mostWithin(s.f.engines[i].arrivalsSince(s.named), s.named.Add(contactTime), window); n > allowed {
			t.Errorf("a server with a limit of %v a second got %d requests in %v, allowed %d", limit, n, window, allowed)
		}
	}
}

func TestFleetKeepsLimitsAndQuarantinesWhileProcessesRestart(t *testing.T) {
	first, count := seedRange(fleetSoakSeeds)
	// Fleets that run at the same time need addresses of their own.
	const fleetAddresses = 8
	addresses := make(chan uint64, 12)
	for i := range uint64(cap(addresses)) {
		addresses <- 100 + fleetAddresses*i
	}
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			address := <-addresses
			t.Cleanup(func() { addresses <- address })
			rng := rand.New(rand.NewPCG(seed, 1))
			entries := 2 + rng.IntN(3)
			f := newFleet(t, address, entries, 6+rng.IntN(5), engineBehavior{
				crashPart: "crashing", downFor: time.Duration(300+rng.IntN(700)) * time.Millisecond,
				crashPath: []string{"/stream/crash", "/plain/crash"}[seed%2],
			})
			s := &fleetSoak{f: f, rng: rng, up: make([]atomic.Bool, entries), limits: map[int]float64{}, traffic: crashTraffic{f: f}}
			for i := range s.up {
				s.up[i].Store(true)
			}
			for i := range rng.IntN(3) {
				s.limits[i] = []float64{0, 0.7, 1.5, 4}[rng.IntN(4)]
			}
			s.repeated = seed%3 != 0
			s.play(seed)
			s.check(t)
			if t.Failed() {
				for _, e := range f.entries {
					t.Logf("%s: pools %+v, limits %+v, turned away %+v", e.ip, e.running.handler.Dump(), e.running.handler.DumpLimits(), e.running.handler.DumpTurnedAway())
				}
				t.Log(f.log.matching("quarantine of", "broke off", "server has ended", "request failed"))
			}
		})
	}
}
