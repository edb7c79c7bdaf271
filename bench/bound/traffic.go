package bound

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// sample returns a random count of at least 1.
func (s Size) sample(r *rand.Rand) float64 {
	sigma := math.Sqrt(math.Log(1 + s.CV*s.CV))
	mu := math.Log(s.Mean) - sigma*sigma/2
	return math.Max(1, math.Min(math.Exp(mu+sigma*r.NormFloat64()), s.Max))
}

// Traffic generates the requests of the given duration, at load times the site's
// usual arrival rate.
func (s *Site) Traffic(duration time.Duration, load float64, seed uint64) []*Request {
	r := rand.New(rand.NewPCG(seed, 1))
	var requests []*Request
	for i := range s.Classes {
		c := &s.Classes[i]
		mean := c.Prompt.Mean + 10*c.Output.Mean
		for at := 0.0; ; {
			at += r.ExpFloat64() / (c.PerSecond * load)
			if at >= duration.Seconds() {
				break
			}
			prompt, output := c.Prompt.sample(r), c.Output.sample(r)
			size := 0.3 + 0.7*(prompt+10*output)/mean
			requests = append(requests, &Request{
				At: time.Duration(at * float64(time.Second)), Class: c, Prompt: int(prompt), Output: int(output),
				Value: math.Min(size, 4) * c.ValueOnTime, LateValue: math.Min(size, 4) * c.ValueLate, entry: r.IntN(s.Entries),
			})
		}
	}
	slices.SortFunc(requests, func(a, b *Request) int { return int(a.At - b.At) })
	return requests
}

// engineTime returns the engine time that a request uses on an engine whose slots
// are all occupied.
func (s *Site) engineTime(r *Request) time.Duration {
	e := &s.Engine
	context := e.PerContext.Seconds() * float64(r.Prompt+r.Output/2) / 1000
	step := e.Step.Seconds()/float64(e.Slots) + e.PerSequence.Seconds() + context
	return time.Duration((float64(r.Prompt)/e.ReadPerSecond + float64(r.Output)*step) * float64(time.Second))
}

// TotalValue returns the value of all requests when each one is on time.
func TotalValue(requests []*Request) float64 {
	sum := 0.0
	for _, r := range requests {
		sum += r.Value
	}
	return sum
}

// UpperBound returns a value that no placement policy can exceed. It assumes that
// the slots of all engines are always full, that all sizes are known in advance
// and that no request waits for a pass to end. It spends the engine time of each
// second on the requests of that second, highest value per engine time first, and
// the unused engine time of all seconds on late requests.
func (s *Site) UpperBound(requests []*Request) float64 {
	const window = time.Second
	spare := time.Duration(0)
	earned := 0.0
	var late []*Request
	for start := 0; start < len(requests); {
		end := start
		for end < len(requests) && requests[end].At/window == requests[start].At/window {
			end++
		}
		budget := time.Duration(s.Engines) * window
		budget, rest, sum := s.spendBudget(requests[start:end], budget, func(r *Request) float64 { return r.Value })
		earned += sum
		spare += budget
		late = append(late, rest...)
		start = end
	}
	_, _, sum := s.spendBudget(late, spare, func(r *Request) float64 { return r.LateValue })
	return earned + sum
}

// spendBudget spends a budget of engine time on the requests with the highest
// value per engine time. The last request counts in proportion to the budget that
// remains for it.
func (s *Site) spendBudget(requests []*Request, budget time.Duration, value func(*Request) float64) (remaining time.Duration, rest []*Request, earned float64) {
	byRate := slices.Clone(requests)
	slices.SortFunc(byRate, func(a, b *Request) int {
		x, y := value(a)*float64(s.engineTime(b)), value(b)*float64(s.engineTime(a))
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	for i, r := range byRate {
		t := s.engineTime(r)
		if t > budget {
			earned += value(r) * float64(budget) / float64(t)
			return 0, byRate[i:], earned
		}
		budget -= t
		earned += value(r)
	}
	return budget, nil, earned
}
