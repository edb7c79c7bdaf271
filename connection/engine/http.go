package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/httphead"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// Paths of the engine interface. They must equal those in package wire, which
// this package can't import because wire depends on it.
const (
	pathReport = "/engine/report"
	pathLoad   = "/engine/load"
	pathUnload = "/engine/unload"
	pathDrain  = "/engine/drain"
	pathCancel = "/engine/cancel"
)

const (
	// maxReportBytes bounds the size of a report.
	maxReportBytes = 1 << 20
	// maxErrorBytes is how much of an error response's body is kept.
	maxErrorBytes = 512
)

// HTTPDriver is the Driver for engines that implement the interface of
// docs/interfaces-backends.md. Safe for concurrent use.
type HTTPDriver struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

var _ Driver = (*HTTPDriver)(nil)

// NewHTTP returns a driver for the engine at address, an "IP:port". The timeout
// applies to each call; a nil rt selects the default transport.
func NewHTTP(address string, rt http.RoundTripper, timeout time.Duration) *HTTPDriver {
	return &HTTPDriver{
		base:    "http://" + address,
		client:  &http.Client{Transport: rt, CheckRedirect: refuseRedirect},
		timeout: timeout,
	}
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// fencedOrder is the request body of unload and drain.
type fencedOrder struct {
	Fence   control.Fence `json:"fence"`
	Version string        `json:"version,omitempty"`
}

type cancelOrder struct {
	RequestID string `json:"request_id"`
}

// Report implements Driver.
func (d *HTTPDriver) Report(ctx context.Context) (Report, error) {
	var report Report
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.base+pathReport, nil)
	if err != nil {
		return report, result.New(result.EngineUnreadable, "report: %v", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return report, result.New(result.EngineUnreadable, "report: %v", err)
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		text, _ := errorText(resp)
		return report, result.New(result.EngineUnreadable, "report: status %d: %s", resp.StatusCode, text)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report); err != nil {
		return Report{}, result.New(result.EngineUnreadable, "report: %v", err)
	}
	if !knownState(report.State) {
		return Report{}, result.New(result.EngineUnreadable, "report: unknown state %q", report.State)
	}
	return report, nil
}

func knownState(state string) bool {
	switch state {
	case StateEmpty, StateLoading, StateReady, StateDrained:
		return true
	default:
		return false
	}
}

// Load implements Driver.
func (d *HTTPDriver) Load(ctx context.Context, order LoadOrder) error {
	return d.postOrder(ctx, pathLoad, order)
}

// Unload implements Driver.
func (d *HTTPDriver) Unload(ctx context.Context, fence control.Fence, version string) error {
	return d.postOrder(ctx, pathUnload, fencedOrder{Fence: fence, Version: version})
}

// Drain implements Driver.
func (d *HTTPDriver) Drain(ctx context.Context, fence control.Fence) error {
	return d.postOrder(ctx, pathDrain, fencedOrder{Fence: fence})
}

// Cancel implements Driver.
func (d *HTTPDriver) Cancel(ctx context.Context, requestID string) error {
	return d.postOrder(ctx, pathCancel, cancelOrder{RequestID: requestID})
}

// postOrder sends an order as JSON. EngineUnreadable means that it is unknown
// whether the engine accepted the order; EngineRefused and StaleFence mean that
// it did not.
func (d *HTTPDriver) postOrder(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return result.New(result.EngineRefused, "%s: %v", path, err)
	}
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.base+path, bytes.NewReader(data))
	if err != nil {
		return result.New(result.EngineRefused, "%s: %v", path, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := d.client.Do(req)
	if err != nil {
		return result.New(result.EngineUnreadable, "%s: %v", path, err)
	}
	defer closeBody(resp)
	return orderError(path, resp)
}

// orderError returns the error of an order by its response, which must be whole.
func orderError(path string, resp *http.Response) error {
	text, err := errorText(resp)
	switch {
	case !httphead.IsDelimited(resp):
		return result.New(result.EngineUnreadable, "%s: the response with status %d is not delimited", path, resp.StatusCode)
	case err != nil:
		return result.New(result.EngineUnreadable, "%s: status %d: %v", path, resp.StatusCode, err)
	case resp.StatusCode >= 200 && resp.StatusCode < 300:
		return nil
	case resp.StatusCode == http.StatusConflict:
		return result.New(result.StaleFence, "%s: %s", path, text)
	case resp.StatusCode >= 500:
		return result.New(result.EngineUnreadable, "%s: status %d: %s", path, resp.StatusCode, text)
	default:
		return result.New(result.EngineRefused, "%s: status %d: %s", path, resp.StatusCode, text)
	}
}

// errorText returns the beginning of a body.
func errorText(resp *http.Response) (string, error) {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return strings.TrimSpace(string(text)), err
}

// closeBody drains the rest of a small response so that the connection can be
// reused.
func closeBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBytes)
	_ = resp.Body.Close()
}
