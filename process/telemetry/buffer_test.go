package telemetry

import (
	"bytes"
	"strings"
	"testing"
)

func TestBufferWritesLinesInOrder(t *testing.T) {
	var out bytes.Buffer
	b := NewBuffer(&out)
	for _, line := range []string{"one\n", "two\n"} {
		if n, err := b.Write([]byte(line)); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	b.Flush()
	_, _ = b.Write([]byte("three\n"))
	b.Flush()
	if out.String() != "one\ntwo\nthree\n" {
		t.Errorf("got %q", out.String())
	}
}

func TestBufferCountsDroppedLines(t *testing.T) {
	var out bytes.Buffer
	b := NewBuffer(&out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const excess = 7
	for range maxBufferedBytes/len(line) + excess {
		_, _ = b.Write(line)
	}
	b.Flush()
	if !strings.Contains(out.String(), "count=7") || out.Len() > maxBufferedBytes+200 {
		t.Errorf("%d bytes, ending in %q", out.Len(), out.String()[out.Len()-80:])
	}
}
