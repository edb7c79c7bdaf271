package main

import (
	"fmt"
	"net/http"
	"time"
)

// fleet is a deployment with control processes, one entry, engines, agents and an origin.
type fleet struct {
	*site
	seeds, controls []string
	origin          *origin
	engines         []*engine
	cores, edges    map[int]*process
	sides           map[int]*process
	clients         *clients
}

const (
	firstCore = 11
	firstEdge = 31
	firstSide = 41
)

// startFleet starts everything, sends the configuration and waits until a request is
// served.
func startFleet(s *site, cores, edges, sides int) (*fleet, error) {
	f := &fleet{site: s, cores: map[int]*process{}, edges: map[int]*process{}, sides: map[int]*process{}}
	for n := firstCore; n < firstCore+cores; n++ {
		f.controls = append(f.controls, s.control(n))
	}
	f.seeds = f.controls[:min(3, cores)]
	var err error
	if f.origin, err = s.startOrigin(60); err != nil {
		return nil, err
	}
	for n := firstSide; n < firstSide+sides; n++ {
		e, err := s.startEngine(n, f.controls)
		if err != nil {
			return nil, err
		}
		f.engines = append(f.engines, e)
	}
	if err := f.startProcesses(cores, edges, sides, true); err != nil {
		return nil, err
	}
	if !s.put("configuration 1", "/-/Config.Put", fleetConfig(1, f.origin), f.controls, 15*time.Second) {
		return nil, fmt.Errorf("no configuration")
	}
	var addresses []string
	for n := firstEdge; n < firstEdge+edges; n++ {
		addresses = append(addresses, fmt.Sprintf("%s:%d", s.ip(n), portFront))
		for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(100 * time.Millisecond) {
			if status, _ := call(time.Second, http.MethodGet, fmt.Sprintf("http://%s:%d/-/readyz", s.ip(n), portReady), nil); status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return nil, fmt.Errorf("edge-%d is not ready", n)
			}
		}
	}
	f.clients = s.newClients(addresses)
	time.Sleep(6 * time.Second) // traffic starts 10 s after the machines do
	return f, nil
}

func (f *fleet) startProcesses(cores, edges, sides int, first bool) error {
	var err error
	for n := firstCore; n < firstCore+cores; n++ {
		if f.cores[n], err = f.startCore(n, first, f.seeds); err != nil {
			return err
		}
	}
	for n := firstEdge; n < firstEdge+edges; n++ {
		if f.edges[n], err = f.startEdge(n, first, f.seeds); err != nil {
			return err
		}
	}
	for n := firstSide; n < firstSide+sides; n++ {
		if f.sides[n], err = f.startSide(n, first, f.seeds, "drafter"); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills all processes of the system at the same moment.
func (f *fleet) killAll() {
	for _, group := range []map[int]*process{f.cores, f.edges, f.sides} {
		for _, p := range group {
			_ = p.cmd.Process.Kill()
		}
	}
	for _, group := range []map[int]*process{f.cores, f.edges, f.sides} {
		for _, p := range group {
			<-p.done
		}
	}
	f.note("all processes of the system killed")
}
