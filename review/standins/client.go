package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// clients send streams at a steady rate to entries.
type clients struct {
	s     *site
	edges []string

	mu   sync.Mutex
	next int
	// byStatus counts the answers of the requests sent in each second.
	sent, served, refused, failed map[int]int
}

func (s *site) newClients(edges []string) *clients {
	return &clients{s: s, edges: edges, sent: map[int]int{}, served: map[int]int{}, refused: map[int]int{}, failed: map[int]int{}}
}

// run sends a stream request every gap until stop is closed. Each request has tokens of
// output.
func (c *clients) run(stop <-chan struct{}, gap time.Duration, tokens int) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(gap):
		}
		go c.stream(tokens)
	}
}

func (c *clients) count(m map[int]int, second int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m[second]++
}

// stream sends one request and reads its whole answer.
func (c *clients) stream(tokens int) {
	c.mu.Lock()
	c.next++
	n := c.next
	c.mu.Unlock()
	second := int(c.s.since())
	c.count(c.sent, second)
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+n)
	req, err := http.NewRequest(http.MethodPost, "http://"+c.edges[n%len(c.edges)]+"/draft/1", strings.NewReader("a letter"))
	if err != nil {
		return
	}
	req.Host = "a.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Model", modelName)
	req.Header.Set("Token-Count", fmt.Sprintf("600,%d", tokens))
	req.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%08x:560", n))
	req.Header.Set("Deadline-Ms", "6000")
	resp, err := newHTTPClient(6500 * time.Millisecond).Do(req)
	if err != nil {
		c.count(c.failed, second)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		c.count(c.refused, second)
		return
	}
	events := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	if lines.Err() != nil || events != max(tokens/5, 1) {
		c.count(c.failed, second)
		return
	}
	c.count(c.served, second)
}

// totals sums the counts of the seconds from first to last.
func (c *clients) totals(first, last int) (sent, served, refused, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := first; i <= last; i++ {
		sent, served, refused, failed = sent+c.sent[i], served+c.served[i], refused+c.refused[i], failed+c.failed[i]
	}
	return sent, served, refused, failed
}

// noteSeconds writes the counts of each second to the record.
func (c *clients) noteSeconds() {
	for i := 0; i <= int(c.s.since()); i++ {
		if sent, served, refused, failed := c.totals(i, i); sent > 0 {
			c.s.note("requests sent in second %d: %d, served %d, refused %d, failed %d", i, sent, served, refused, failed)
		}
	}
}
