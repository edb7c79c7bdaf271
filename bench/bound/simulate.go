package bound

import (
	"container/heap"
	"slices"
	"time"
)

// Policy decides where each request runs and which ones are refused. Its methods
// are called in the order of virtual time.
type Policy interface {
	// Arrive handles a new or retried request by calling Sim.Send or
	// Sim.Refuse, immediately or at a later time.
	Arrive(p *Sim, r *Request)
	// Started is called when a request's first event was sent, Done when the
	// request has completed.
	Started(p *Sim, r *Request)
	Done(p *Sim, r *Request)
}

// Sim runs requests on simulated engines in virtual time.
type Sim struct {
	Now     time.Duration
	site    *Site
	policy  Policy
	engines []*engine
	events  events
	lastSeq int
}

type engine struct {
	// queued requests have no slot yet. Requests in prefilling have their prompts
	// processed in that order; those in decoding generate output.
	queued, prefilling, decoding []*Request
	busy                         bool
}

// Outcome summarizes what the callers received.
type Outcome struct {
	Earned  float64
	OnTime  int
	Late    int
	Refused int
	// LargestShare is the share of its total value that the largest tenth of each
	// class earned.
	LargestShare float64
}

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Simulate runs the requests of a site under a policy. It does not modify the
// requests.
func Simulate(s *Site, requests []*Request, policy Policy) Outcome {
	p := &Sim{site: s, policy: policy}
	for range s.Engines {
		p.engines = append(p.engines, &engine{})
	}
	simulated := make([]Request, len(requests))
	for i, r := range requests {
		simulated[i] = *r
		simulated[i].remaining = r.Output
		p.Schedule(r.At, func() { policy.Arrive(p, &simulated[i]) })
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.Now = e.at
		e.fn()
	}
	return summarize(simulated)
}

func summarize(requests []Request) Outcome {
	var o Outcome
	thresholds := largestThresholds(requests)
	earned, possible := 0.0, 0.0
	for i := range requests {
		r := &requests[i]
		value := 0.0
		switch {
		case !r.done:
			o.Refused++
		case r.firstEvent-r.At <= r.Class.FirstEventTarget:
			o.OnTime++
			value = r.Value
		default:
			o.Late++
			value = r.LateValue
		}
		o.Earned += value
		if r.size() >= thresholds[r.Class] {
			earned += value
			possible += r.Value
		}
	}
	o.LargestShare = earned / max(possible, 1)
	return o
}

// size returns the request's size as the platform calculates it: one output token
// counts as much as 10 prompt tokens.
func (r *Request) size() int { return r.Prompt + 10*r.Output }

// largestThresholds returns, for each class, the minimum size of a request in the
// largest tenth of the class.
func largestThresholds(requests []Request) map[*Class]int {
	sizes := map[*Class][]int{}
	for i := range requests {
		sizes[requests[i].Class] = append(sizes[requests[i].Class], requests[i].size())
	}
	thresholds := map[*Class]int{}
	for class, sorted := range sizes {
		slices.Sort(sorted)
		thresholds[class] = sorted[len(sorted)*9/10]
	}
	return thresholds
}

// Schedule runs a function at the given virtual time, or now if that has passed.
func (p *Sim) Schedule(at time.Duration, fn func()) {
	p.lastSeq++
	heap.Push(&p.events, event{max(at, p.Now), p.lastSeq, fn})
}

// Send adds a request to the queue of engine i.
func (p *Sim) Send(r *Request, i int) {
	e := p.engines[i]
	e.queued = append(e.queued, r)
	if !e.busy {
		p.startPass(e)
	}
}

// Engines returns the number of engines.
func (p *Sim) Engines() int { return len(p.engines) }

// InFlight returns the number of requests queued or running on engine i.
func (p *Sim) InFlight(i int) int {
	e := p.engines[i]
	return len(e.queued) + len(e.prefilling) + len(e.decoding)
}

// Refuse refuses a request. Like the platform's callers, the caller retries once
// after retryAfter, provided that this is at most a third of its remaining time.
func (p *Sim) Refuse(r *Request, retryAfter time.Duration) {
	r.attempts++
	remaining := r.At + p.site.Timeout - p.Now
	if r.attempts > 1 || retryAfter > remaining/3 {
		return
	}
	p.Schedule(p.Now+retryAfter, func() { p.policy.Arrive(p, r) })
}

// startPass simulates one pass of an engine, which prefills prompts and generates
// one event for each request that was prefilled before.
func (p *Sim) startPass(e *engine) {
	cfg := &p.site.Engine
	for len(e.queued) > 0 && len(e.prefilling)+len(e.decoding) < cfg.Slots {
		e.prefilling = append(e.prefilling, e.queued[0])
		e.queued = e.queued[1:]
	}
	if len(e.prefilling)+len(e.decoding) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	prefillCount, tokens := 0, 0
	for prefillCount < len(e.prefilling) && (prefillCount == 0 || tokens+e.prefilling[prefillCount].Prompt <= cfg.Chunk) {
		tokens += e.prefilling[prefillCount].Prompt
		prefillCount++
	}
	duration := time.Duration(float64(tokens) / cfg.ReadPerSecond * float64(time.Second))
	if n := len(e.decoding); n > 0 {
		context := 0
		for _, r := range e.decoding {
			context += r.Prompt + r.Output - r.remaining
		}
		step := cfg.Step + time.Duration(n)*cfg.PerSequence + time.Duration(float64(context)/1000*float64(cfg.PerContext))
		duration += time.Duration(cfg.Stride) * step
	}
	p.Schedule(p.Now+duration, func() { p.finishPass(e, prefillCount) })
}

func (p *Sim) finishPass(e *engine, prefillCount int) {
	decoding := e.decoding
	e.decoding = nil
	for _, r := range decoding {
		if r.firstEvent == 0 {
			r.firstEvent = p.Now
			p.policy.Started(p, r)
		}
		if r.remaining -= p.site.Engine.Stride; r.remaining > 0 {
			e.decoding = append(e.decoding, r)
			continue
		}
		r.done = true
		p.policy.Done(p, r)
	}
	e.decoding = append(e.decoding, e.prefilling[:prefillCount]...)
	e.prefilling = e.prefilling[prefillCount:]
	p.startPass(e)
}
