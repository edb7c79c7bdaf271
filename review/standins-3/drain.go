package main

import (
	"fmt"
	"sync"
	"time"
)

// drainMs is the bound of the small deployment.
const drainMs = 2000 * time.Millisecond

// foreignDrain sends one heartbeat of another writer about a sound engine. It is true, but lacks
// the zone and the version. Then the engine leaves as planned.
func foreignDrain(s *system, rec *record, trouble bool) error {
	_, entries, addresses, err := startAll(s)
	if err != nil {
		return err
	}
	engines, err := startBooth(s, rec, addresses)
	if err != nil {
		return err
	}
	if err := serveSome(rec, addresses, entries); err != nil {
		return err
	}
	leaves := engines[0]
	if trouble {
		beat := map[string]any{
			"service": boothService, "addr": leaves.addr, "slots": leaves.slots, "state": "ready", "coldLeftMs": 0, "seq": 4711, "born": leaves.born,
		}
		status := post(addresses[0], "/-/Instances.Heartbeat/"+leaves.id, beat)
		rec.add("another writer sends a heartbeat without zone and version about %s: answer %d", leaves.id, status)
	}
	burst(rec, entries, 2)
	time.Sleep(500 * time.Millisecond)
	acknowledged := leaves.drain()
	// It serves for drainMs after the acknowledgement and a little longer, and nothing is sent
	// before drainMs are over.
	time.Sleep(time.Until(acknowledged.Add(drainMs + 100*time.Millisecond)))
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		time.Sleep(100 * time.Millisecond)
		status := post(addresses[1], "/-/Instances.Deregister/"+leaves.id, map[string]any{"born": leaves.born})
		rec.add("engine %s deregisters: answer %d", leaves.id, status)
		leaves.exit()
	}()
	answers := burst(rec, entries, 1)
	<-exited
	late, lost := 0, 0
	for _, r := range leaves.runs() {
		if r.at.Before(acknowledged.Add(drainMs)) {
			continue
		}
		late++
		rec.add("%s reached %s %d ms after its draining was acknowledged", r.id, r.engine, r.at.Sub(acknowledged).Milliseconds())
		for _, a := range answers {
			if a.id == r.id && a.status != 200 {
				lost++
			}
		}
	}
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached the engine later than drainMs after the acknowledgement; of these unsafe requests %d had run and got no success", errBroken, late, lost)
	}
	return nil
}

// startBooth starts the three engines of a service.
func startBooth(s *system, rec *record, addresses []string) ([]*engine, error) {
	var engines []*engine
	for i := range 3 {
		e, err := startEngine(rec, addresses, fmt.Sprintf("i-7f3a91c%d", i), boothService, s.ip(101+i), "colombo-a", 6, 150*time.Millisecond)
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	return engines, nil
}

// serveSome puts a configuration, waits until all is settled and checks that requests are served.
func serveSome(rec *record, addresses []string, entries []*machine) error {
	if !putConfig(rec, addresses, 7, 15*time.Second) {
		return fmt.Errorf("no configuration")
	}
	for _, e := range entries {
		if !awaitReady(e, 10*time.Second) {
			return fmt.Errorf("%s is not ready", e.name)
		}
	}
	// All machines are in touch after contactMs and counted after catchUpS.
	time.Sleep(6 * time.Second)
	for _, a := range burst(rec, entries, 2) {
		if a.status != 200 {
			return fmt.Errorf("request %s was not served before the disruption: %d, %v", a.id, a.status, a.err)
		}
	}
	return nil
}

// burst sends rounds of eight requests at once to each entry.
func burst(rec *record, entries []*machine, rounds int) []answer {
	var mu sync.Mutex
	var answers []answer
	for range rounds {
		var wg sync.WaitGroup
		for i := range 8 * len(entries) {
			wg.Go(func() {
				a := send(rec, entries[i%len(entries)], submitHost, submitPath)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
		wg.Wait()
	}
	return answers
}
