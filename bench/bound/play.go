package bound

import (
	"container/heap"
	"slices"
	"time"
)

// Policy decides what becomes of requests. Its methods are called in the order
// of virtual time.
type Policy interface {
	// Arrive takes in a request: Player.Send, Player.Refuse, or either later.
	Arrive(p *Player, r *Request)
	// Began tells that a request's first event was sent, Done that it has ended.
	Began(p *Player, r *Request)
	Done(p *Player, r *Request)
}

// Player plays requests in virtual time.
type Player struct {
	Now    time.Duration
	site   *Site
	policy Policy
	engine []*engine
	events events
	order  int
}

type engine struct {
	// queued have no slot yet, reading are read in their order, writing write.
	queued, reading, writing []*Request
	busy                     bool
}

// Outcome is what the callers got.
type Outcome struct {
	Earned  float64
	OnTime  int
	Late    int
	Refused int
	// Largest is the part that the largest tenth of each class earned of what it
	// is worth.
	Largest float64
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Play plays the requests of a site under a policy. The requests are not changed.
func Play(s *Site, all []*Request, policy Policy) Outcome {
	p := &Player{site: s, policy: policy}
	for range s.Engines {
		p.engine = append(p.engine, &engine{})
	}
	played := make([]Request, len(all))
	for i, r := range all {
		played[i] = *r
		played[i].remaining = r.Output
		p.At(r.At, func() { policy.Arrive(p, &played[i]) })
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.Now = e.at
		e.run()
	}
	return judge(played)
}

func judge(played []Request) Outcome {
	var o Outcome
	cuts := largest(played)
	earned, owed := 0.0, 0.0
	for i := range played {
		r := &played[i]
		value := 0.0
		switch {
		case !r.done:
			o.Refused++
		case r.first-r.At <= r.Class.Aim:
			o.OnTime++
			value = r.Value
		default:
			o.Late++
			value = r.LateValue
		}
		o.Earned += value
		if r.size() >= cuts[r.Class] {
			earned += value
			owed += r.Value
		}
	}
	o.Largest = earned / max(owed, 1)
	return o
}

// size is a request's size as the platform reckons it.
func (r *Request) size() int { return r.Prompt + 10*r.Output }

// largest returns the size from which on a request is among the largest tenth of
// its class.
func largest(played []Request) map[*Class]int {
	sizes := map[*Class][]int{}
	for i := range played {
		sizes[played[i].Class] = append(sizes[played[i].Class], played[i].size())
	}
	cuts := map[*Class]int{}
	for class, list := range sizes {
		slices.Sort(list)
		cuts[class] = list[len(list)*9/10]
	}
	return cuts
}

// At runs a function at a time of the play.
func (p *Player) At(at time.Duration, run func()) {
	p.order++
	heap.Push(&p.events, event{max(at, p.Now), p.order, run})
}

// Send gives a request to an engine.
func (p *Player) Send(r *Request, to int) {
	e := p.engine[to]
	e.queued = append(e.queued, r)
	if !e.busy {
		p.pass(e)
	}
}

// Engines counts the engines, Working the requests at one.
func (p *Player) Engines() int { return len(p.engine) }

// Working counts the requests at an engine.
func (p *Player) Working(at int) int {
	e := p.engine[at]
	return len(e.queued) + len(e.reading) + len(e.writing)
}

// Refuse sends a request back. Its caller asks once more after the time that it
// is told, as the platform's callers do, if that is within a third of what is left.
func (p *Player) Refuse(r *Request, comeBack time.Duration) {
	r.attempts++
	left := r.At + p.site.Timeout - p.Now
	if r.attempts > 1 || comeBack > left/3 {
		return
	}
	p.At(p.Now+comeBack, func() { p.policy.Arrive(p, r) })
}

// pass plays one pass of an engine: it reads prompts, and writes an event of each
// request that was read before.
func (p *Player) pass(e *engine) {
	set := &p.site.Engine
	for len(e.queued) > 0 && len(e.reading)+len(e.writing) < set.Slots {
		e.reading = append(e.reading, e.queued[0])
		e.queued = e.queued[1:]
	}
	if len(e.reading)+len(e.writing) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	read, tokens := 0, 0
	for read < len(e.reading) && (read == 0 || tokens+e.reading[read].Prompt <= set.Chunk) {
		tokens += e.reading[read].Prompt
		read++
	}
	took := time.Duration(float64(tokens) / set.ReadPerSecond * float64(time.Second))
	if n := len(e.writing); n > 0 {
		context := 0
		for _, r := range e.writing {
			context += r.Prompt + r.Output - r.remaining
		}
		step := set.Step + time.Duration(n)*set.PerSequence + time.Duration(float64(context)/1000*float64(set.PerContext))
		took += time.Duration(set.Stride) * step
	}
	p.At(p.Now+took, func() { p.passed(e, read) })
}

func (p *Player) passed(e *engine, read int) {
	writing := e.writing
	e.writing = nil
	for _, r := range writing {
		if r.first == 0 {
			r.first = p.Now
			p.policy.Began(p, r)
		}
		if r.remaining -= p.site.Engine.Stride; r.remaining > 0 {
			e.writing = append(e.writing, r)
			continue
		}
		r.done = true
		p.policy.Done(p, r)
	}
	e.writing = append(e.writing, e.reading[:read]...)
	e.reading = e.reading[read:]
	p.pass(e)
}
