// Package engine is the client side of the backend servers' interface that
// docs/interfaces.md describes: health and load report, orders and requests.
// One small driver package fits another engine's own protocol to Driver.
package engine

import (
	"context"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Report is what an engine says of itself. It may lag behind.
type Report struct {
	// Version and Digest name the weights being served; empty while none are.
	Version string          `json:"version"`
	Digest  manifest.Digest `json:"digest"`
	// Adapters maps the loaded adapters to their digests.
	Adapters map[string]manifest.Digest `json:"adapters,omitempty"`
	// State is one of the State constants.
	State string `json:"state"`
	// Running and Waiting count requests; Slots is the engine's batch limit.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Fence is the highest fence index that the engine has seen.
	Fence uint64 `json:"fence"`
	// CacheEvents are late and gappy hints of cached prompt prefixes.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// States of an engine.
const (
	StateEmpty   = "empty"
	StateLoading = "loading"
	StateReady   = "ready"
	StateDrained = "drained"
)

// CacheEvent tells of a prompt prefix that entered or left the cache.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Prefix  string `json:"prefix"`
	Removed bool   `json:"removed,omitempty"`
}

// LoadOrder tells an engine to load a version from a directory of the spool.
type LoadOrder struct {
	Fence   control.Fence   `json:"fence"`
	Version string          `json:"version"`
	Digest  manifest.Digest `json:"digest"`
	// Path is a file that holds the whole verified content.
	Path string `json:"path"`
	// Adapter is set when the content is an adapter on top of the version
	// that is being served.
	Adapter bool `json:"adapter,omitempty"`
}

// Driver speaks to one engine. Methods return errors with result codes:
// StaleFence when the engine refused an old fence, EngineRefused,
// EngineUnreadable. Safe for concurrent use.
type Driver interface {
	Report(ctx context.Context) (Report, error)
	Load(ctx context.Context, order LoadOrder) error
	Unload(ctx context.Context, fence control.Fence, version string) error
	Drain(ctx context.Context, fence control.Fence) error
	Cancel(ctx context.Context, requestID string) error
}
