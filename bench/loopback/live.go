package loopback

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/version/transfer"
)

const (
	livePath = "/live"
	// liveResponseTime is the response time of an idle engine without jitter.
	liveResponseTime  = 100 * time.Millisecond
	liveJitter        = 20 * time.Millisecond
	liveResponseBytes = 16 << 10
	// reportInterval is how often the number of live requests is reported to a
	// manager.
	reportInterval = 50 * time.Millisecond
)

// liveServer simulates the live requests that a VM answers during a transfer.
type liveServer struct {
	manager *transfer.Manager
	running atomic.Int64
}

func newLiveServer(m *transfer.Manager) *liveServer { return &liveServer{manager: m} }

// ServeHTTP implements http.Handler.
func (s *liveServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	time.Sleep(liveResponseTime + time.Duration(rand.Int64N(int64(liveJitter))))
	_, _ = w.Write(make([]byte, liveResponseBytes))
}

func (s *liveServer) reportRunning(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.manager.SetLiveRequests(int(s.running.Load()))
		}
	}
}

// MeasureLive sends live requests to every VM at the given rate until ctx is done. It
// returns the 95th percentile of their latency.
func (f *Fleet) MeasureLive(ctx context.Context, perSecond float64) (time.Duration, error) {
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed atomic.Int64
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	for _, v := range f.vms {
		wg.Go(func() { v.liveServer.reportRunning(ctx) })
		wg.Go(func() {
			f.sendRandomly(ctx, perSecond, &wg, func() {
				start := time.Now()
				if err := get(client, v.peer.Address); err != nil {
					failed.Add(1)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				_ = histogram.RecordValue(time.Since(start).Microseconds())
			})
		})
	}
	wg.Wait()
	if n := failed.Load(); n > 0 {
		return 0, errors.Newf("%d live requests failed", n)
	}
	return time.Duration(histogram.ValueAtQuantile(95)) * time.Microsecond, nil
}

// sendRandomly calls send in new goroutines, at exponentially distributed intervals,
// until ctx is done.
func (f *Fleet) sendRandomly(ctx context.Context, perSecond float64, wg *sync.WaitGroup, send func()) {
	for {
		interval := time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
			wg.Go(send)
		}
	}
}

func get(client *http.Client, address string) error {
	resp, err := client.Get("http://" + address + livePath)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && n != liveResponseBytes {
		err = errors.Newf("the response has %d bytes", n)
	}
	return err
}
