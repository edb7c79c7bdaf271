package cli

import (
	"bytes"
	"io"
	"net/http/httptest"
	"testing"

	"github.com/waxwingpost/waxwingpost/connection/httphead/httpheadtest"
)

// A part of an explanation must not look like all of it.
func TestPartOfAnAnswerIsAFailure(t *testing.T) {
	for name, text := range map[string]string{
		"without framing": "HTTP/1.1 200 OK\r\n\r\n[1,2]\n",
		"cut off":         "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n[1,2]\n",
		"spoilt length":   "HTTP/1.1 200 OK\r\nContent-Length : 12\r\n\r\n[1,2]\n",
		"spoilt head":     "HTTP/1.1 200 OK\r\nA name: b\r\nContent-Length: 6\r\n\r\n[1,2]\n",
	} {
		process := httptest.NewServer(httpheadtest.RawResponse(text))
		defer process.Close()
		address := process.Listener.Addr().String()
		for _, command := range []interface{ Run(out io.Writer) error }{
			&State{Target{Address: address}}, &Explain{Target: Target{Address: address}, Query: "revision:1"}, &Placement{Address: address, JSON: true},
		} {
			var out bytes.Buffer
			if err := command.Run(&out); err == nil {
				t.Errorf("%s: %T printed %q and succeeded", name, command, out.String())
			}
		}
	}
}
