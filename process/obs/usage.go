package obs

import (
	"runtime"
	"syscall"
	"time"
)

// kibibyte is the unit of the operating system's resident set size.
const kibibyte = 1024

// Usage is what the process has used of the machine.
type Usage struct {
	// CPUSeconds is user and system time since the start.
	CPUSeconds float64 `json:"cpu_seconds"`
	// MaxResidentBytes is the highest resident set size since the start.
	MaxResidentBytes int64 `json:"max_resident_bytes"`
	// HeapBytes is what the heap's live objects hold now.
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
		u.CPUSeconds = (duration(ru.Utime) + duration(ru.Stime)).Seconds()
		u.MaxResidentBytes = ru.Maxrss * kibibyte
	}
	return u
}

func duration(tv syscall.Timeval) time.Duration {
	return time.Duration(tv.Sec)*time.Second + time.Duration(tv.Usec)*time.Microsecond
}
