package frontend

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// maxLateRetries is the number of retries of a request that may reach servers later than
// the contact time after it has crashed the third.
const maxLateRetries = 3

// repeatedRequests sends one request again and again, and sound ones beside it. It counts the
// sound ones since the third crash and twice the contact time.
type repeatedRequests struct {
	soundCounts
	f *fleet
	// path is that of the crashing request, and kind the route of the sound ones.
	path, kind string
	interval   time.Duration
	soundPause time.Duration
}

func (q *repeatedRequests) thirdCrash() (time.Time, bool) {
	if times := q.f.crashTimes(q.path); len(times) >= 3 {
		return times[2], true
	}
	return time.Time{}, false
}

func (q *repeatedRequests) sendSound(e *fleetEntry, path string) {
	third, crashed := q.thirdCrash()
	settled := crashed && time.Since(third) > 2*contactTime
	q.count(settled, e.sendTo(path))
}

func (q *repeatedRequests) run(d time.Duration) {
	end := time.Now().Add(d)
	var senders sync.WaitGroup
	for i := range 4 {
		rng := rand.New(rand.NewPCG(3, uint64(i)))
		senders.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				path := q.kind + "polled"
				if i > 0 {
					path = fmt.Sprintf("%ssound-%d-%d", q.kind, i, n)
				}
				q.sendSound(q.f.entries[rng.IntN(len(q.f.entries))], path)
				time.Sleep(q.soundPause)
			}
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		e := q.f.entries[n%len(q.f.entries)]
		senders.Go(func() { e.sendTo(q.path) })
		time.Sleep(q.interval)
	}
	senders.Wait()
}

func (q *repeatedRequests) check(t *testing.T) {
	third, crashed := q.thirdCrash()
	sound, served := q.sound.Load(), q.served.Load()
	late := countAfter(q.f.arrivalTimes(q.path), third.Add(contactTime))
	t.Logf("%d crashes; %d retries later than %v after the third; %d of %d sound requests served", len(q.f.crashTimes(q.path)), late, contactTime, served, sound)
	if !crashed {
		return
	}
	if late > maxLateRetries {
		t.Errorf("%d retries reached servers later than %v after the third crash, want at most %d", late, contactTime, maxLateRetries)
	}
	if served < sound*9/10 {
		t.Errorf("%d of %d sound requests were served afterwards", served, sound)
	}
}

func TestRepeatedRequestThatCrashesServersIsNotSentOn(t *testing.T) {
	for i, q := range []*repeatedRequests{
		{path: "/plain/crash", kind: "/plain/", interval: 150 * time.Millisecond, soundPause: 30 * time.Millisecond},
		{path: "/stream/crash", kind: "/stream/", interval: 150 * time.Millisecond, soundPause: 30 * time.Millisecond},
		{path: "/plain/crash", kind: "/plain/", interval: 1100 * time.Millisecond, soundPause: 400 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(q.path, " each ", q.interval), func(t *testing.T) {
			q.f = newFleet(t, 200+10*uint64(i), 3, 3+5*(i%2), engineBehavior{crashPath: q.path, downFor: time.Second})
			q.run(12 * time.Second)
			q.check(t)
		})
	}
}
