package state

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

const benchAnswerBytes = 64

// fillCalls adds n completed calls with answers of benchAnswerBytes each.
func fillCalls(m *Machine, n int) {
	for i := range n {
		key := fmt.Sprintf("018f3c1e-9f2b-7c4d-8e5f-%012x", i)
		entry := fmt.Sprint("entry-", i%3)
		m.Apply(uint64(2*i+1), 1, control.Command{ID: fmt.Sprint("r", i), VM: entry, Time: 1_700_000_000_000, Reserve: &control.Reserve{
			Account: "colombo-booths", Key: key, BodyDigest: manifest.Sum([]byte(key)), Service: "staff-desk",
			Agent: "agent-7", Incarnation: "b1946ac92492d2347c6235b4d2611184", Attempt: 1, Entry: entry,
		}})
		m.Apply(uint64(2*i+2), 1, control.Command{ID: fmt.Sprint("o", i), VM: entry, Time: 1_700_000_000_000, Outcome: &control.RecordOutcome{
			Account: "colombo-booths", Key: key, Attempt: 1, Verdict: control.AttemptRan, Answer: &control.Answer{
				Status: 201, ContentType: "application/json", Body: make([]byte, benchAnswerBytes), Size: benchAnswerBytes,
			},
		}})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkCallRecords measures the memory of a record with a small answer, and
// the time and size of a snapshot.
func BenchmarkCallRecords(b *testing.B) {
	for _, n := range []int{20_000, 50_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				m := New(Options{})
				start := time.Now()
				fillCalls(m, n)
				applied := time.Since(start)
				used := heapBytes() - before
				start = time.Now()
				encode := m.Capture()
				captured := time.Since(start)
				data, err := encode()
				if err != nil {
					b.Fatal(err)
				}
				encoded := time.Since(start)
				start = time.Now()
				if err := New(Options{}).Restore(data); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(used)/float64(n), "heap-B/record")
				b.ReportMetric(float64(len(data))/float64(n), "snapshot-B/record")
				b.ReportMetric(float64(applied.Nanoseconds())/float64(2*n), "ns/apply")
				b.ReportMetric(float64(captured.Microseconds()), "capture-us")
				b.ReportMetric(float64(encoded.Milliseconds()), "snapshot-ms")
				b.ReportMetric(float64(time.Since(start).Milliseconds()), "restore-ms")
				runtime.KeepAlive(m)
			}
		})
	}
}

// BenchmarkEdit measures the time of one accepted change with n other files.
func BenchmarkEdit(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprint(n, "-files"), func(b *testing.B) {
			m := newTestMachine(Options{})
			for i := range n {
				content := ""
				for j := range 20 {
					content += fmt.Sprintf("  account-%d-%d: {share: 2, max_concurrent: 16, requests_per_second: 5}\n", i, j)
				}
				m.apply(fmt.Sprint("f", i), editCommand(fmt.Sprintf("%03d.yaml", i), "", "accounts:\n"+content))
			}
			last := ""
			b.ResetTimer()
			for i := range b.N {
				content := fmt.Sprintf("priorities: {a: %d}\n", i%2)
				if res := m.apply(fmt.Sprint("e", i), editCommand("edit.yaml", last, content)); res.Code != 0 {
					b.Fatal(res.Detail)
				}
				last = content
			}
		})
	}
}
