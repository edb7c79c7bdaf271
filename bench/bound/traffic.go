package bound

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// draw returns a count of at least 1.
func (s Size) draw(r *rand.Rand) float64 {
	sigma := math.Sqrt(math.Log(1 + s.Spread*s.Spread))
	mu := math.Log(s.Mean) - sigma*sigma/2
	return math.Max(1, math.Min(math.Exp(mu+sigma*r.NormFloat64()), s.Most))
}

// Traffic draws the requests of a span at load times the site's usual number.
func (s *Site) Traffic(span time.Duration, load float64, seed uint64) []*Request {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []*Request
	for i := range s.Classes {
		c := &s.Classes[i]
		mean := c.Prompt.Mean + 10*c.Output.Mean
		for at := 0.0; ; {
			at += r.ExpFloat64() / (c.PerSecond * load)
			if at >= span.Seconds() {
				break
			}
			prompt, output := c.Prompt.draw(r), c.Output.draw(r)
			size := 0.3 + 0.7*(prompt+10*output)/mean
			all = append(all, &Request{
				At: time.Duration(at * float64(time.Second)), Class: c, Prompt: int(prompt), Output: int(output),
				Value: math.Min(size, 4) * c.Worth, LateValue: math.Min(size, 4) * c.Late, entry: r.IntN(s.Entries),
			})
		}
	}
	slices.SortFunc(all, func(a, b *Request) int { return int(a.At - b.At) })
	return all
}

// cost is the engine time that a request takes of an engine with full slots.
func (s *Site) cost(r *Request) time.Duration {
	e := &s.Engine
	context := e.PerContext.Seconds() * float64(r.Prompt+r.Output/2) / 1000
	step := e.Step.Seconds()/float64(e.Slots) + e.PerSequence.Seconds() + context
	return time.Duration((float64(r.Prompt)/e.ReadPerSecond + float64(r.Output)*step) * float64(time.Second))
}

// Owed is what all requests are worth on time.
func Owed(all []*Request) float64 {
	sum := 0.0
	for _, r := range all {
		sum += r.Value
	}
	return sum
}

// Limit returns what no way of placing the requests can exceed: engines whose
// slots are always full, all sizes known beforehand, no waiting for passes. Each
// second's time goes to the requests of that second, the most worth a time
// first; what is left of all seconds goes to late ones.
func (s *Site) Limit(all []*Request) float64 {
	const window = time.Second
	spare := time.Duration(0)
	earned := 0.0
	var late []*Request
	for from := 0; from < len(all); {
		to := from
		for to < len(all) && all[to].At/window == all[from].At/window {
			to++
		}
		budget := time.Duration(s.Engines) * window
		budget, rest, sum := s.fill(all[from:to], budget, func(r *Request) float64 { return r.Value })
		earned += sum
		spare += budget
		late = append(late, rest...)
		from = to
	}
	_, _, sum := s.fill(late, spare, func(r *Request) float64 { return r.LateValue })
	return earned + sum
}

// fill spends a budget of engine time on the requests that earn most for it. The
// last one counts in part.
func (s *Site) fill(all []*Request, budget time.Duration, value func(*Request) float64) (left time.Duration, rest []*Request, earned float64) {
	order := slices.Clone(all)
	slices.SortFunc(order, func(a, b *Request) int {
		x, y := value(a)*float64(s.cost(b)), value(b)*float64(s.cost(a))
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	for i, r := range order {
		c := s.cost(r)
		if c > budget {
			earned += value(r) * float64(budget) / float64(c)
			return 0, order[i:], earned
		}
		budget -= c
		earned += value(r)
	}
	return budget, nil, earned
}
