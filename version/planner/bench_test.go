package planner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// BenchmarkView measures what one agent spends on a new view of n agents in 5
// regions: the arrangement and the table's part of it. It reports the bytes
// that stay.
func BenchmarkView(b *testing.B) {
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
				table.SetArrangement(Arrange(nodes, version, DefaultSettings()), Ways{Share: 1}, lookup, time.Second)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "kept-B")
			runtime.KeepAlive(table)
		})
	}
}
