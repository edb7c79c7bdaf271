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
	// liveWork is the time of an answer on an idle engine, liveBytes its size.
	liveWork   = 100 * time.Millisecond
	liveJitter = 20 * time.Millisecond
	liveBytes  = 16 << 10
	// tellInterval is how often a manager is told of live requests.
	tellInterval = 50 * time.Millisecond
)

// liveServer stands for the requests that a VM answers while weights move.
type liveServer struct {
	manager *transfer.Manager
	running atomic.Int64
}

func newLiveServer(m *transfer.Manager) *liveServer { return &liveServer{manager: m} }

// ServeHTTP implements http.Handler.
func (s *liveServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	time.Sleep(liveWork + time.Duration(rand.Int64N(int64(liveJitter))))
	_, _ = w.Write(make([]byte, liveBytes))
}

func (s *liveServer) tell(ctx context.Context) {
	ticker := time.NewTicker(tellInterval)
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

// Live sends requests at a rate to every VM until ctx ends and returns the
// 95th percentile of their times.
func (f *Fleet) Live(ctx context.Context, perSecond float64) (time.Duration, error) {
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed atomic.Int64
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	for _, v := range f.vms {
		wg.Go(func() { v.live.tell(ctx) })
		wg.Go(func() {
			f.arrivals(ctx, perSecond, &wg, func() {
				start := time.Now()
				if err := ask(client, v.peer.Address); err != nil {
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

// arrivals calls ask on goroutines of their own at random intervals.
func (f *Fleet) arrivals(ctx context.Context, perSecond float64, wg *sync.WaitGroup, ask func()) {
	for {
		pause := time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
			wg.Go(ask)
		}
	}
}

func ask(client *http.Client, address string) error {
	resp, err := client.Get("http://" + address + livePath)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && n != liveBytes {
		err = errors.Newf("%d bytes", n)
	}
	return err
}
