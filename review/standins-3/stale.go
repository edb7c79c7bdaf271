package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// configMs is the bound of the small deployment.
	configMs = 2000 * time.Millisecond
	// bigConfig is the number of routes by which the configuration grows.
	bigConfig = 350
	// readers is the number of reads at once.
	readers = 1500
	// otherReaders is the number of reads at once at each other machine.
	otherReaders = 200
	// staleTime is the time in which rounds begin, and maxFreeze that of a freeze.
	staleTime = 98 * time.Second
	maxFreeze = 7 * time.Second
)

// replicaState is what a control process says of its replica to operators. It only decides which
// process is disrupted next.
type replicaState struct {
	Replica struct {
		Core struct {
			Role    string `json:"role"`
			Members []struct {
				ID    string `json:"id"`
				Name  string `json:"name"`
				Voter bool   `json:"voter"`
			} `json:"members"`
		} `json:"core"`
	} `json:"replica"`
}

// leaderOf returns which of the control processes leads, -1 if none says so, and its state.
func leaderOf(controls []*machine, skip int) (int, replicaState) {
	for i, m := range controls {
		if i == skip {
			continue
		}
		resp, err := caller.Get("http://" + m.address(peerPort) + "/v1/state")
		if err != nil {
			continue
		}
		var state replicaState
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if json.Unmarshal(data, &state) == nil && state.Replica.Core.Role == "leader" {
			return i, state
		}
	}
	return -1, replicaState{}
}

// voterOf returns the identity of the voter on a machine, "" if there is none.
func (s replicaState) voterOf(m *machine) (id string) {
	for _, member := range s.Replica.Core.Members {
		if member.Voter && member.Name == m.address(peerPort) {
			id = member.ID
		}
	}
	return id
}

// handsOverTo reports whether planned stops make a machine lead: a leader that stops hands over to the
// running voter with the last identity.
func (s replicaState) handsOverTo(m, lead, frozen *machine) bool {
	var first, second string
	for _, member := range s.Replica.Core.Members {
		switch {
		case !member.Voter || member.Name == frozen.address(peerPort):
		case member.Name == lead.address(peerPort):
			second = max(second, member.ID)
		case member.ID > first:
			first, second = member.ID, max(first, second)
		default:
			second = max(second, member.ID)
		}
	}
	id := s.voterOf(m)
	return id == first || id == second
}

// await calls done each 100 ms until it returns true or the time is over.
func await(until time.Time, done func() bool) bool {
	for time.Now().Before(until) {
		if done() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// staleRead freezes a control process while the configuration changes, another one loses its disk
// and leaders are killed, and reads the configuration from it as it wakes.
func staleRead(s *system, rec *record, trouble bool) error {
	controls, _, addresses, err := startAll(s)
	if err != nil {
		return err
	}
	moreRoutes = bigConfig
	r := &staleRounds{rec: rec, controls: controls, addresses: addresses, version: 7}
	if !putConfig(rec, addresses, r.version, 15*time.Second) {
		return fmt.Errorf("no configuration")
	}
	// All machines are counted after catchUpS.
	time.Sleep(5 * time.Second)
	for time.Since(rec.start) < staleTime {
		if err := r.round(trouble); err != nil {
			return err
		}
		if r.older > 0 && os.Getenv("ALL") == "" {
			return fmt.Errorf("%w: CONFIG: %d reads were answered with an older version", errBroken, r.older)
		}
	}
	return nil
}

type staleRounds struct {
	rec       *record
	controls  []*machine
	addresses []string
	version   int
	count     int

	mu              sync.Mutex
	answered, older int
}

func (r *staleRounds) round(trouble bool) error {
	r.count++
	lead, before := leaderOf(r.controls, -1)
	if lead < 0 {
		time.Sleep(200 * time.Millisecond)
		return nil
	}
	frozen, wiped := (lead+1)%len(r.controls), (lead+2)%len(r.controls)
	r.rec.add("round %d", r.count)
	start := time.Now()
	if trouble {
		r.controls[frozen].signal(syscall.SIGSTOP)
	}
	running := slices.Clone(r.addresses)
	running = slices.Delete(running, frozen, frozen+1)
	for range 3 {
		r.version++
		if !putConfig(r.rec, running, r.version, 8*time.Second) {
			return fmt.Errorf("configuration %d not acknowledged", r.version)
		}
	}
	acknowledged := time.Now()
	if trouble {
		if err := r.moveLead(frozen, wiped, before.voterOf(r.controls[wiped]), start.Add(maxFreeze)); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(acknowledged.Add(configMs + 100*time.Millisecond)))
	r.readWhileWaking(r.controls[frozen], trouble, acknowledged)
	return nil
}

// moveLead makes a machine lose its disk and kills leaders until that machine leads or the time is
// over.
func (r *staleRounds) moveLead(frozen, wiped int, id string, until time.Time) error {
	m := r.controls[wiped]
	m.kill()
	if err := os.RemoveAll(m.dataDir()); err != nil {
		return err
	}
	r.rec.add("%s has lost its disk", m.name)
	m.firstStart = false
	if err := m.start(); err != nil {
		return err
	}
	joined := await(until.Add(-time.Second), func() bool {
		_, state := leaderOf(r.controls, frozen)
		voter := state.voterOf(m)
		return voter != "" && voter != id
	})
	for joined && time.Now().Before(until.Add(-1500*time.Millisecond)) {
		lead, state := leaderOf(r.controls, frozen)
		if lead == wiped {
			r.rec.add("%s leads", m.name)
			break
		}
		if lead >= 0 {
			if state.handsOverTo(m, r.controls[lead], r.controls[frozen]) {
				r.controls[lead].signal(syscall.SIGTERM)
				<-r.controls[lead].exited
			} else {
				r.controls[lead].kill()
			}
			r.controls[lead].firstStart = false
			if err := r.controls[lead].start(); err != nil {
				return err
			}
		}
		await(time.Now().Add(2*time.Second), func() bool { lead, _ := leaderOf(r.controls, frozen); return lead >= 0 })
	}
	return nil
}

// readWhileWaking reads the configuration from a machine as it wakes.
func (r *staleRounds) readWhileWaking(m *machine, trouble bool, acknowledged time.Time) {
	stop := make(chan struct{})
	reader := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: readers}}
	defer reader.CloseIdleConnections()
	var wg sync.WaitGroup
	loop := func(m *machine) {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					r.read(reader, m, acknowledged)
				}
			}
		})
	}
	for range readers {
		loop(m)
	}
	for _, other := range r.controls {
		for range otherReaders {
			if other != m {
				loop(other)
			}
		}
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		m.signal(syscall.SIGCONT)
	}
	time.Sleep(1200 * time.Millisecond)
	close(stop)
	wg.Wait()
	r.rec.add("%d reads answered with 200 up to now, older %d", r.answered, r.older)
}

func (r *staleRounds) read(reader *http.Client, m *machine, acknowledged time.Time) {
	sent := time.Now()
	resp, err := reader.Get("http://" + m.address(controlPort) + "/-/Config.Get")
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	document, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	// The version is the last field of the documents that are sent.
	version := 0
	if i := bytes.LastIndex(document, []byte(`"version":`)); i < 0 {
		return
	} else if _, err := fmt.Sscanf(string(document[i:]), `"version":%d}`, &version); err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered++
	if version < r.version && sent.Sub(acknowledged) > configMs {
		r.older++
		r.rec.add("a read sent to %s %.3f s after %d was acknowledged got version %d", m.name, sent.Sub(acknowledged).Seconds(), r.version, version)
	}
}
