package intake

import (
	"runtime/debug"
	"syscall"
	"time"
)

const (
	// DefaultMemory is assumed where the settings state none.
	DefaultMemory = 1 << 30
	// DefaultDescriptors is assumed where neither the settings nor the operating system state
	// fewer.
	DefaultDescriptors = 16 << 10

	// SectionBytes is the size of a header section that every listener accepts: the 16 KiB
	// that callers are promised. sectionSlack is for the request line; net/http adds the same.
	SectionBytes = 16 << 10
	sectionSlack = 4 << 10
	// minLine is the size of the shortest header line. A section of the allowed size in such
	// lines has fewer lines than the limit by lineSlack/minLine.
	minLine   = 3
	lineSlack = 1 << 10
	// lineCost is what net/http needs for a header line apart from its bytes: 15 KB in lines
	// of five bytes took 530 KB, 170 bytes a line, with the garbage of growing maps.
	lineCost = 200
	// bodyCost is the cost of a byte of a body, which is copied once when it is complete.
	bodyCost = 2
	// headerFloor and bodyFloor are the costs up to which no connection is closed for others.
	// Ordinary callers send 12 lines of 500 bytes in all and bodies of a few KB.
	headerFloor = 8 << 10
	bodyFloor   = 32 << 10
	// minHeaders and minBodies hold any one legal request: 16 KiB in lines of three bytes
	// cost 1.1 MB, and a body of 4 MiB costs twice its size.
	minHeaders = 2 << 20
	minBodies  = 9 << 20
	// minStreams holds two events of the greatest size.
	minStreams = 2 << 20
	// responseFloor is the size up to which no response is ended for others. Events have a few
	// hundred bytes, and most responses that are not streams a few KB.
	responseFloor = 64 << 10
	// minResponses holds two unfinished responses of the greatest size, with the buffers into
	// which they are copied as they grow.
	minResponses = 4 << 20

	// writeTimeout is how long one write to a caller may take that reads nothing.
	writeTimeout = 30 * time.Second
	// retryAfter is the delay sent with refusals for lack of memory.
	retryAfter = 500 * time.Millisecond

	// ownDescriptors are for listeners, files and links of the process itself.
	ownDescriptors = 32

	// idleMemory is the resident memory that the Go heap does not account for: the binary's
	// pages and the stacks of an idle process.
	idleMemory = 22 << 20
)

// Limits bound what a process holds for connections and requests that it accepts.
type Limits struct {
	// HeaderBytes bounds the cost of all header sections in memory, and BodyBytes that of all
	// request bodies.
	HeaderBytes, BodyBytes int64
	// StreamBytes bounds the events and responses that callers have not taken yet.
	StreamBytes int64
	// ResponseBytes bounds the unfinished responses that are held until they end.
	ResponseBytes int64
	// Connections bounds the open connections.
	Connections int
	// SectionBytes bounds one header section, in whatever lines.
	SectionBytes int
}

// LimitsFor derives the limits from the memory in bytes and the descriptors of a VM; zero
// means the default. A sixteenth of the memory goes to header sections, an eighth to bodies,
// a sixteenth to what callers have not read and an eighth to what servers have not finished:
// the Go heap may double. Two fifths of the descriptors, less ownDescriptors, go to connections:
// each request in progress may need another one to its server, and idle ones are kept.
func LimitsFor(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
		var limit syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < DefaultDescriptors {
			descriptors = int(limit.Cur)
		}
	}
	return Limits{
		HeaderBytes: max(memory/16, minHeaders), BodyBytes: max(memory/8, minBodies), StreamBytes: max(memory/16, minStreams),
		ResponseBytes: max(memory/8, minResponses),
		Connections:   max((descriptors-ownDescriptors)*2/5, 1), SectionBytes: SectionBytes,
	}
}

// Override returns the limits with those that are set in other, but with none below what any
// one legal request needs.
func (l Limits) Override(other Limits) Limits {
	if other.HeaderBytes > 0 {
		l.HeaderBytes = max(other.HeaderBytes, minHeaders)
	}
	if other.BodyBytes > 0 {
		l.BodyBytes = max(other.BodyBytes, minBodies)
	}
	if other.StreamBytes > 0 {
		l.StreamBytes = max(other.StreamBytes, minStreams)
	}
	if other.ResponseBytes > 0 {
		l.ResponseBytes = max(other.ResponseBytes, minResponses)
	}
	if other.Connections > 0 {
		l.Connections = other.Connections
	}
	l.SectionBytes = max(l.SectionBytes, other.SectionBytes)
	return l
}

// SetMemoryLimit makes the garbage collector run more often as the process nears the memory
// of its VM. It is a backstop: the limits bound what is held.
func SetMemoryLimit(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(max(memory-idleMemory, memory/2) * 9 / 10)
	}
}
