package intake

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// serveResponses answers the requests on each connection with the responses in turn. It closes
// the connection before an empty one.
func serveResponses(t *testing.T, responses ...string) (client *http.Client, url string, requests *atomic.Int32) {
	t.Helper()
	requests = &atomic.Int32{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					requests.Add(1)
					_, _ = io.Copy(io.Discard, req.Body)
					if _, err := io.WriteString(c, responses[n%len(responses)]); err != nil || responses[(n+1)%len(responses)] == "" {
						return
					}
				}
			}()
		}
	}()
	client = &http.Client{Timeout: 5 * time.Second, Transport: CheckHeads(&http.Transport{MaxConnsPerHost: 1, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})}
	return client, "http://" + l.Addr().String(), requests
}

func fetch(client *http.Client, url string) (string, error) {
	resp, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

const okHead = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"

// Guards against the memory that heads of very many lines take, at any response of a connection.
func TestResponseHeadOfTooManyLinesFails(t *testing.T) {
	long := strings.Repeat("a:\n", 2*maxHeadLines)
	for name, responses := range map[string][]string{
		"first":        {okHead + long + "\r\nbody"},
		"second":       {okHead + "\r\nbody", okHead + long + "\r\nbody"},
		"after 1xx":    {"HTTP/1.1 103 Early Hints\r\n\r\n" + okHead + long + "\r\nbody"},
		"1xx":          {"HTTP/1.1 103 Early Hints\r\n" + long + "\r\n" + okHead + "\r\nbody"},
		"many 1xx":     {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxHeadLines) + okHead + "\r\nbody"},
		"one long one": {okHead + "a: " + strings.Repeat("v", 2*maxHeadBytes) + "\r\n\r\nbody"},
	} {
		t.Run(name, func(t *testing.T) {
			client, url, requests := serveResponses(t, responses...)
			for n := range responses {
				body, err := fetch(client, url)
				if last := n == len(responses)-1; last && err == nil || !last && body != "body" {
					t.Errorf("response %d: got %q, error %v", n, body, err)
				} else if last && name != "one long one" && name != "many 1xx" && !errors.Is(err, errHeadTooLong) {
					t.Errorf("got error %v, want %v", err, errHeadTooLong)
				}
			}
			if got := int(requests.Load()); got != len(responses) {
				t.Errorf("%d requests were sent, want %d", got, len(responses))
			}
		})
	}
}

// Guards against bodies without framing: net/http accepts blanks in names and folded lines.
func TestResponseHeadWithALineThatIsNoFieldFails(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length : 9\r\n", "HTTP/1.1 200 OK\r\nContent Length: 9\r\n", "HTTP/1.1 200 OK\r\nX-A: b\r\n Content-Length: 9\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n", okHead + "A name: b\r\n", okHead + "X-A: b\r\r\n", okHead + "X-A: \x01\r\n",
		okHead + "no field\r\n", "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n", "HTTP/1.12 200 OK\r\nContent-Length: 4\r\n",
	} {
		for name, responses := range map[string][]string{
			"first":     {head + "\r\nbody"},
			"second":    {okHead + "\r\nbody", head + "\r\nbody"},
			"after 1xx": {"HTTP/1.1 103 Early Hints\r\n\r\n" + head + "\r\nbody"},
		} {
			client, url, requests := serveResponses(t, append(responses, "")...)
			for n := range responses {
				body, err := fetch(client, url)
				if last := n == len(responses)-1; last && err == nil || !last && body != "body" {
					t.Errorf("%s, %q: got %q, error %v", name, head, body, err)
				}
			}
			if got := int(requests.Load()); got != len(responses) {
				t.Errorf("%s, %q: %d requests were sent, want %d", name, head, got, len(responses))
			}
		}
	}
}

// Guards against bodies whose stated length is too short.
func TestBodyThatContinuesAfterItsLengthFails(t *testing.T) {
	for _, length := range []string{"0", "2", "3"} {
		client, url, requests := serveResponses(t, "HTTP/1.1 200 OK\r\nContent-Length: "+length+"\r\n\r\nbody", "")
		if body, err := fetch(client, url); err == nil {
			t.Errorf("length %s: got %q", length, body)
		}
		if got := requests.Load(); got != 1 {
			t.Errorf("length %s: %d requests were sent", length, got)
		}
	}
	for name, response := range map[string]string{
		"another response":   okHead + "\r\nbody" + okHead + "\r\nbody",
		"a length of chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"103 with a length":  "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\n" + okHead + "\r\nbody",
	} {
		client, url, _ := serveResponses(t, response)
		for range 3 {
			if body, err := fetch(client, url); err != nil || body != "body" {
				t.Errorf("%s: got %q, error %v", name, body, err)
			}
		}
	}
}

// partConn returns few bytes at a time.
type partConn struct {
	net.Conn
	r    io.Reader
	size int
}

func (c *partConn) Read(p []byte) (int, error) { return c.r.Read(p[:min(len(p), c.size)]) }

// Guards against lines that are checked only if they arrive whole.
func TestHeadIsCheckedInWhateverPartsItArrives(t *testing.T) {
	sound := "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-A: b\r\n\r\nno field\r\n"
	for size := range len(sound) {
		for text, wantErr := range map[string]bool{sound: false, strings.Replace(sound, "X-A:", "X A:", 1): true} {
			c := &headConn{Conn: &partConn{r: strings.NewReader(text), size: size + 1}, active: true}
			if _, err := io.ReadAll(c); (err != nil) != wantErr {
				t.Errorf("%d bytes at a time: error %v", size+1, err)
			}
		}
	}
}

// Guards against lines of bodies that are taken for lines of heads.
func TestLinesOfBodiesAreNotCounted(t *testing.T) {
	lines := strings.Repeat("\n", 8*maxHeadLines)
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" + lines + "\r\n0\r\n\r\n"
	many := strings.Repeat("b:\r\n", maxHeadLines-8)
	client, url, _ := serveResponses(t, chunked, "HTTP/1.1 103 Early Hints\r\n\r\n"+chunked, "HTTP/1.1 200 OK\r\n"+many+"Content-Length: 4096\r\n\r\n"+lines)
	for n := range 9 {
		if body, err := fetch(client, url); err != nil || body != lines {
			t.Errorf("response %d: got %d bytes, error %v", n, len(body), err)
		}
	}
}
