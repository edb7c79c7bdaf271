package folder

import (
	"context"
	"fmt"
	"testing"
)

// BenchmarkIdleStep measures a step on a folder without changes.
func BenchmarkIdleStep(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprint(n, "-files"), func(b *testing.B) {
			one := newVM(b, &cluster{}, "entry-1")
			for i := range n {
				one.write(fmt.Sprintf("%03d.yaml", i), fmt.Sprintf("priorities: {p%d: 1}\n", i))
			}
			one.run()
			if _, revision := one.machine.Config(); revision != 1 {
				b.Fatalf("revision %d", revision)
			}
			b.ResetTimer()
			for range b.N {
				one.watcher.Step(context.Background())
			}
		})
	}
}
