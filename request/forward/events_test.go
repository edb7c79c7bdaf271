package forward

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// pieces gives one part a read, then an error.
type parts struct {
	parts []string
	err   error
}

func (p *parts) Read(b []byte) (int, error) {
	if len(p.parts) == 0 {
		return 0, p.err
	}
	n := copy(b, p.parts[0])
	p.parts[0] = p.parts[0][n:]
	if p.parts[0] == "" {
		p.parts = p.parts[1:]
	}
	return n, nil
}

func (p *parts) Buffered() bool { return false }

func readAll(e *eventReader) (string, error) {
	var out strings.Builder
	for {
		events, _, err := e.next()
		out.Write(events)
		if err != nil {
			return out.String(), err
		}
	}
}

func TestEventsAreReturnedWholeAndAtOnce(t *testing.T) {
	src := &parts{parts: []string{"id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\n"}, err: io.EOF}
	e := &eventReader{}
	e.from(src)
	first, count, err := e.next()
	if string(first) != "id: 1\ndata: a\n\n" || count != 1 || err != nil {
		t.Fatalf("first %q, %d, %v", first, count, err)
	}
	if len(src.parts) != 1 {
		t.Error("the reader read on although an event was whole")
	}
	if rest, err := readAll(e); rest != "id: 2\ndata: b\n\n" || !errors.Is(err, io.EOF) {
		t.Errorf("rest %q, %v", rest, err)
	}
}

func TestStreamThatBreaksOffInsideAnEvent(t *testing.T) {
	reset := errors.New("reset")
	for name, c := range map[string]struct{ end, want error }{
		"end": {io.EOF, io.ErrUnexpectedEOF}, "reset": {reset, reset},
	} {
		e := &eventReader{}
		e.from(&parts{parts: []string{"id: 1\ndata: a\n\nid: 2\nda"}, err: c.end})
		got, err := readAll(e)
		if got != "id: 1\ndata: a\n\n" || !errors.Is(err, c.want) {
			t.Errorf("%s: %q, %v", name, got, err)
		}
		// The error stays: the source is not read on.
		if _, _, again := e.next(); !errors.Is(again, c.want) {
			t.Errorf("%s: then %v", name, again)
		}
	}
}

func TestNextServerGoesOnAfterTheLastEvent(t *testing.T) {
	e := &eventReader{}
	e.from(&parts{parts: []string{"id: 1\n\nid: 2\n\nid: 3"}, err: errors.New("reset")})
	if got, _ := readAll(e); got != "id: 1\n\nid: 2\n\n" {
		t.Fatalf("first server: %q", got)
	}
	e.from(&parts{parts: []string{"id: 2\n\nid: 3\n\nid: 4\n\n"}, err: io.EOF})
	if got, err := readAll(e); got != "id: 3\n\nid: 4\n\n" || !errors.Is(err, io.EOF) {
		t.Errorf("second server: %q, %v", got, err)
	}
}

func TestMissingEventIsAnError(t *testing.T) {
	e := &eventReader{}
	e.from(&parts{parts: []string{"id: 1\n\nid: 3\n\n"}, err: io.EOF})
	if got, err := readAll(e); !errors.Is(err, errEventGap) {
		t.Errorf("%q, %v", got, err)
	}
}
