// Package source reads manifests and chunks from a weight source (the origin
// or a weight store) by HTTP ranges. It holds no state and is safe for
// concurrent use.
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

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

const (
	// maxManifestBytes bounds a manifest; 16 MiB hold over 100,000 chunks.
	maxManifestBytes = 16 << 20
	// defaultRetryAfter is used where a source throttles without Retry-After.
	defaultRetryAfter = time.Second
	// maxRetryAfter bounds what a source may ask for.
	maxRetryAfter = time.Minute
)

// Manifest reads and validates the manifest of the version at path.
func Manifest(ctx context.Context, client *http.Client, src wire.Source, path string) (*manifest.Manifest, error) {
	resp, err := get(ctx, client, src, path, wire.SourceManifest, "")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, refusal(src, resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxManifestBytes+1))
	if err != nil {
		return nil, result.New(result.SourceFailed, "%s: read manifest: %v", src.Name, err)
	}
	if len(data) > maxManifestBytes {
		return nil, result.New(result.ManifestInvalid, "%s: manifest exceeds %d bytes", src.Name, maxManifestBytes)
	}
	m := &manifest.Manifest{}
	if err := json.Unmarshal(data, m); err != nil {
		return nil, result.New(result.ManifestInvalid, "%s: %v", src.Name, err)
	}
	return m, m.Validate()
}

// Content opens size bytes of the version's content from offset. The caller
// must close the reader, which may yield fewer bytes or fail midway. A 429
// yields SourceThrottled with RetryAfter, other refusals SourceFailed.
func Content(ctx context.Context, client *http.Client, src wire.Source, path string, offset, size int64) (io.ReadCloser, error) {
	span := fmt.Sprintf("bytes=%d-%d", offset, offset+size-1)
	resp, err := get(ctx, client, src, path, wire.SourceContent, span)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusPartialContent && rangeMatches(resp, offset, size) {
		return resp.Body, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, refusal(src, resp)
}

// rangeMatches refuses an answer for another range than was asked for.
func rangeMatches(resp *http.Response, offset, size int64) bool {
	got := resp.Header.Get("Content-Range")
	want := fmt.Sprintf("bytes %d-%d/", offset, offset+size-1)
	return strings.HasPrefix(got, want)
}

func get(ctx context.Context, client *http.Client, src wire.Source, path, name, span string) (*http.Response, error) {
	url := "http://" + src.Address + "/" + strings.Trim(path, "/") + "/" + name
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, result.New(result.SourceFailed, "%s: %v", src.Name, err)
	}
	if span != "" {
		req.Header.Set("Range", span)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, result.New(result.SourceFailed, "%s: %v", src.Name, err)
	}
	return resp, nil
}

func refusal(src wire.Source, resp *http.Response) error {
	throttled := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	if !throttled {
		return result.New(result.SourceFailed, "%s answered %s", src.Name, resp.Status)
	}
	e := result.New(result.SourceThrottled, "%s answered %s", src.Name, resp.Status)
	e.RetryAfter = retryAfter(resp.Header.Get(wire.HeaderRetryAfter))
	return e
}

func retryAfter(value string) time.Duration {
	seconds, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
