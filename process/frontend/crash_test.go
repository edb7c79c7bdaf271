package frontend

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

func sortTimes(times []time.Time) []time.Time {
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// countAfter returns the number of times later than a limit.
func countAfter(times []time.Time, limit time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(limit) {
			n++
		}
	}
	return n
}

// soundCounts counts the sound requests since the crashes must have ended, and those of them
// that were answered.
type soundCounts struct {
	sound, served atomic.Int64
}

// count counts a request that was sent when the crashes must have ended, if settled is set.
func (c *soundCounts) count(settled bool, status int) {
	if !settled {
		return
	}
	c.sound.Add(1)
	if status == http.StatusOK {
		c.served.Add(1)
	}
}

// crashTraffic sends sound requests and requests with a crashing part to all entries. It
// counts the sound ones since the fifth crash and twice the contact time.
type crashTraffic struct {
	soundCounts
	f     *fleet
	fifth atomic.Int64
}

// settled reports whether twice the contact time has passed since the fifth crash.
func (c *crashTraffic) settled() bool {
	if c.fifth.Load() == 0 {
		if times := c.f.crashTimes("crashing"); len(times) >= 5 {
			c.fifth.Store(times[4].UnixNano())
		}
	}
	fifth := c.fifth.Load()
	return fifth != 0 && time.Now().UnixNano() > fifth+int64(2*contactTime)
}

func (c *crashTraffic) sendSound(rng *rand.Rand, part string) {
	settled := c.settled()
	status := c.f.entries[rng.IntN(len(c.f.entries))].send("system", part)
	c.count(settled, status)
}

// run sends requests for d. A request with the crashing part comes after each interval.
func (c *crashTraffic) run(d, interval time.Duration, crashParts ...string) {
	end := time.Now().Add(d)
	var senders sync.WaitGroup
	for i := range 12 {
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		senders.Go(func() {
			for time.Now().Before(end) {
				c.sendSound(rng, fmt.Sprint("topic", rng.IntN(12)))
				time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
			}
		})
	}
	rng := rand.New(rand.NewPCG(2, 1))
	for time.Now().Before(end) {
		parts := append([]string{"system", fmt.Sprint("topic", rng.IntN(12))}, crashParts...)
		entry := c.f.entries[rng.IntN(len(c.f.entries))]
		senders.Go(func() { entry.send(parts...) })
		time.Sleep(interval)
	}
	senders.Wait()
}

func TestPromptPartThatCrashesServersIsNotSentOn(t *testing.T) {
	f := newFleet(t, 40, 3, 8, engineBehavior{crashPart: "crashing", downFor: 600 * time.Millisecond})
	traffic := &crashTraffic{f: f}
	traffic.run(9*time.Second, 100*time.Millisecond, "crashing")
	crashes := f.crashTimes("crashing")
	sound, served := traffic.sound.Load(), traffic.served.Load()
	t.Logf("%d crashes; %d of %d sound requests served", len(crashes), served, sound)
	if len(crashes) >= 5 {
		if n := countAfter(f.arrivalTimes("crashing"), crashes[4].Add(contactTime)); n > 3 {
			t.Errorf("%d requests with the part reached servers later than %v after the fifth crash, want at most 3", n, contactTime)
		}
		if 2*served < sound {
			t.Errorf("%d of %d sound requests were served afterwards", served, sound)
		}
	}
}

func TestQuarantineSurvivesRestartsOfEntriesAndControlProcesses(t *testing.T) {
	f := newFleet(t, 80, 2, 8, engineBehavior{crashPart: "crashing", downFor: 400 * time.Millisecond})
	traffic := &crashTraffic{f: f}
	traffic.run(5*time.Second, 100*time.Millisecond, "crashing")
	crashes := f.crashTimes("crashing")
	if len(crashes) < 2 {
		t.Fatalf("%d servers crashed", len(crashes))
	}
	quiet := time.Now()
	for i := range fleetControls {
		f.stopControl[i]()
		f.startControl(i, false)
		time.Sleep(500 * time.Millisecond)
	}
	for _, e := range f.entries {
		e.stop()
		e.start()
		e.awaitService()
		for range 10 {
			if status := e.send("system", "crashing"); status != http.StatusServiceUnavailable {
				t.Errorf("status %d for a request with the part after a restart of the entry", status)
			}
		}
	}
	if n := countAfter(f.arrivalTimes("crashing"), quiet); n != 0 {
		t.Errorf("%d requests with the part reached servers after restarts", n)
	}
}

// Of parts in the same ends of servers, one that all sound prompts have was suspected.
func TestSoundPromptsAreServedBesideCrashingOnesWithTheSameOtherParts(t *testing.T) {
	f := newFleet(t, 120, 2, 8, engineBehavior{crashPart: "crashing", downFor: 400 * time.Millisecond})
	sendAll := func(n int, pause time.Duration, parts ...string) (served int) {
		for i := range n {
			if f.entries[i%len(f.entries)].send(parts...) == http.StatusOK {
				served++
			}
			time.Sleep(pause)
		}
		return served
	}
	before := sendAll(24, 50*time.Millisecond, "system", "topic", "manual")
	for range 20 {
		if len(f.crashTimes("crashing")) < 5 {
			sendAll(1, 50*time.Millisecond, "system", "crashing", "manual")
		}
	}
	crashes := f.crashTimes("crashing")
	if len(crashes) < 5 {
		t.Fatalf("%d servers crashed, want 5", len(crashes))
	}
	fifth := crashes[4]
	crashing := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() {
		for {
			select {
			case <-crashing:
				return
			default:
				sendAll(len(f.entries), 200*time.Millisecond, "system", "crashing", "manual")
			}
		}
	})
	time.Sleep(time.Until(fifth.Add(2 * contactTime)))
	after := sendAll(24, 50*time.Millisecond, "system", "topic", "manual")
	close(crashing)
	senders.Wait()
	t.Logf("%d crashes; %d of 24 sound requests served before, %d of 24 afterwards", len(f.crashTimes("crashing")), before, after)
	if 2*after < before {
		t.Errorf("%d of 24 sound requests were served after the fifth crash, %d before", after, before)
	}
	if n := countAfter(f.arrivalTimes("crashing"), fifth.Add(contactTime)); n > 3 {
		t.Errorf("%d requests with the part reached servers later than %v after the fifth crash, want at most 3", n, contactTime)
	}
}
