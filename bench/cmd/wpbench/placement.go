package main

import (
	"context"
	"fmt"
	"time"

	"github.com/waxwingpost/waxwingpost/bench/bound"
	"github.com/waxwingpost/waxwingpost/bench/figure"
)

func init() {
	register(experiment{
		Name: "placement",
		Help: "value that placement policies earn, relative to an upper bound, in virtual time",
		Run:  runPlacement,
	})
}

// placementDuration is about the length of one run of the platform's benchmark.
const placementDuration = 40 * time.Second

// runPlacement simulates both sites at loads around the capacity of their engines.
func runPlacement(_ context.Context, opts options) error {
	for i := range bound.Sites {
		s := &bound.Sites[i]
		for _, load := range []float64{0.5, 0.7, 0.8, 0.9, 1, 1.2, 1.5} {
			requests := s.Traffic(placementDuration, load, opts.Seed)
			upperBound := s.UpperBound(requests)
			name := fmt.Sprintf("placement.%s.load_%.1f", s.Name, load)
			figure.Print(opts.Out, name+".limit", upperBound/bound.TotalValue(requests), "share_of_owed", "")
			policies := []struct {
				name, target string
				policy       bound.Policy
			}{
				{"pools", ">=0.9", bound.NewPools(s)}, {"round_robin", "", &bound.RoundRobin{}}, {"least_load", "", &bound.LeastLoad{}},
			}
			for _, p := range policies {
				figure.Print(opts.Out, name+"."+p.name, bound.Simulate(s, requests, p.policy).Earned/upperBound, "share_of_limit", p.target)
			}
		}
	}
	return nil
}
