package telemetry

import (
	"runtime"
	"syscall"
	"time"
)

// kibibyte is the unit in which getrusage reports the resident set size.
const kibibyte = 1024

// Usage is the resource usage of a process.
type Usage struct {
	// CPUSeconds is the user and system CPU time since the start.
	CPUSeconds float64 `json:"cpu_seconds"`
	// MaxResidentBytes is the highest resident set size since the start.
	MaxResidentBytes int64 `json:"max_resident_bytes"`
	// HeapBytes is the size of the allocated heap objects.
	HeapBytes  uint64 `json:"heap_bytes"`
	Goroutines int    `json:"goroutines"`
}

// ReadUsage reads the usage of this process.
func ReadUsage() Usage {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	u := Usage{HeapBytes: mem.HeapAlloc, Goroutines: runtime.NumGoroutine()}
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) == nil {
		u.CPUSeconds = (toDuration(ru.Utime) + toDuration(ru.Stime)).Seconds()
		u.MaxResidentBytes = ru.Maxrss * kibibyte
	}
	return u
}

func toDuration(tv syscall.Timeval) time.Duration {
	return time.Duration(tv.Sec)*time.Second + time.Duration(tv.Usec)*time.Microsecond
}
