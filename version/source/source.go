// Package source reads manifests and ranges of a version's content from a weight
// source (the origin or a weight store) over HTTP. It holds no state and is safe
// for concurrent use.
package source

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/intake"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

const (
	// maxManifestBytes bounds a manifest. 16 MiB hold over 100,000 chunks.
	maxManifestBytes = 16 << 20
	// defaultRetryAfter is used if a throttling source sends no valid
	// Retry-After header.
	defaultRetryAfter = time.Second
	// maxRetryAfter bounds the delay that a source may ask for.
	maxRetryAfter = time.Minute
)

// ReadManifest reads and validates the manifest of the version at path. It fails
// with ManifestInvalid if the manifest is malformed or too large, and otherwise
// as OpenContent does.
func ReadManifest(ctx context.Context, client *http.Client, src wire.Source, path string) (*manifest.Manifest, error) {
	resp, err := get(ctx, client, src, path, wire.SourceManifest, "")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(src, resp)
	}
	data, err := intake.ReadBody(resp.Body, resp.ContentLength, maxManifestBytes)
	if err != nil && !errors.Is(err, intake.ErrTooLong) {
		return nil, result.New(result.SourceFailed, "source %s: read manifest: %v", src.Name, err)
	}
	if err != nil {
		return nil, result.New(result.ManifestInvalid, "source %s: manifest exceeds %d bytes", src.Name, maxManifestBytes)
	}
	m := &manifest.Manifest{}
	if err := json.Unmarshal(data, m); err != nil {
		return nil, result.New(result.ManifestInvalid, "source %s: decode manifest: %v", src.Name, err)
	}
	return m, m.Validate()
}

// OpenContent opens size bytes of the version's content from offset. The caller
// must close the reader, which may return fewer bytes or fail midway. Status 429
// or 503 gives SourceThrottled with RetryAfter, any other response without the
// requested range SourceFailed.
func OpenContent(ctx context.Context, client *http.Client, src wire.Source, path string, offset, size int64) (io.ReadCloser, error) {
	byteRange := fmt.Sprintf("bytes=%d-%d", offset, offset+size-1)
	resp, err := get(ctx, client, src, path, wire.SourceContent, byteRange)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusPartialContent && rangeMatches(resp, offset, size) {
		return resp.Body, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, statusError(src, resp)
}

// rangeMatches reports whether the response is for the requested range.
func rangeMatches(resp *http.Response, offset, size int64) bool {
	got := resp.Header.Get("Content-Range")
	want := fmt.Sprintf("bytes %d-%d/", offset, offset+size-1)
	return strings.HasPrefix(got, want)
}

func get(ctx context.Context, client *http.Client, src wire.Source, path, name, byteRange string) (*http.Response, error) {
	url := "http://" + src.Address + "/" + strings.Trim(path, "/") + "/" + name
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, result.New(result.SourceFailed, "source %s: create request: %v", src.Name, err)
	}
	if byteRange != "" {
		req.Header.Set("Range", byteRange)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, result.New(result.SourceFailed, "source %s: %v", src.Name, err)
	}
	return resp, nil
}

// statusError returns the error for a response that is not the requested
// content.
func statusError(src wire.Source, resp *http.Response) error {
	throttled := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	if !throttled {
		return result.New(result.SourceFailed, "source %s returned status %s", src.Name, resp.Status)
	}
	e := result.New(result.SourceThrottled, "source %s returned status %s", src.Name, resp.Status)
	e.RetryAfter = parseRetryAfter(resp.Header.Get(wire.HeaderRetryAfter))
	return e
}

func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
