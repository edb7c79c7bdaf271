package planner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// BenchmarkSetArrangement measures what a new view of n agents in 5 regions
// costs one agent: computing the arrangement and applying it to the table. It
// reports the heap bytes that are retained.
func BenchmarkSetArrangement(b *testing.B) {
	for _, n := range []int{100, 500, 2100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			nodes := make([]Node, n)
			byName := make(map[string]Node)
			for i := range nodes {
				zone := i % 11
				nodes[i] = Node{Name: fmt.Sprintf("vm-%04d", i), Zone: fmt.Sprint(zone), Region: fmt.Sprint(zone % 5)}
				byName[nodes[i].Name] = nodes[i]
			}
			lookup := func(name string) Node { return byName[name] }
			version := manifest.Sum([]byte("v"))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var table *Table
			for b.Loop() {
				table = NewTable(nodes[0], 512, DefaultSettings())
				table.SetArrangement(Arrange(nodes, version, DefaultSettings()), IngestPolicy{RelayShare: 1}, lookup, time.Second)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "kept-B")
			runtime.KeepAlive(table)
		})
	}
}
