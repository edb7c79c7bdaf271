// Package engine is the client for the backend servers' engine interface, which
// docs/interfaces-backends.md describes: health and load report, orders and requests.
// To support an engine with another protocol, implement Driver in a package of
// its own.
package engine

import (
	"context"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Report is the state that an engine reports about itself. It may be out of date.
type Report struct {
	// Version and Digest identify the weights being served; empty while none
	// are.
	Version string          `json:"version"`
	Digest  manifest.Digest `json:"digest"`
	// Adapters maps the names of the loaded adapters to their digests.
	Adapters map[string]manifest.Digest `json:"adapters,omitempty"`
	// State is one of the State constants.
	State string `json:"state"`
	// Running and Waiting count requests; Slots is the engine's batch limit.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Fence is the highest fence index that the engine has seen.
	Fence uint64 `json:"fence"`
	// CacheEvents are hints about cached prompt prefixes; events may be late or
	// missing.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// States of an engine.
const (
	StateEmpty   = "empty"
	StateLoading = "loading"
	StateReady   = "ready"
	StateDrained = "drained"
)

// CacheEvent reports that a prompt prefix was added to or removed from the cache.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Prefix  string `json:"prefix"`
	Removed bool   `json:"removed,omitempty"`
}

// LoadOrder orders an engine to load a version from the spool.
type LoadOrder struct {
	Fence   control.Fence   `json:"fence"`
	Version string          `json:"version"`
	Digest  manifest.Digest `json:"digest"`
	// Path is the file with the complete, verified content.
	Path string `json:"path"`
	// Adapter is set when the content is an adapter for the version being
	// served.
	Adapter bool `json:"adapter,omitempty"`
}

// Driver is the client of one engine. Methods return errors with result codes:
// StaleFence if the engine refused an old fence, EngineRefused if it refused the
// order, EngineUnreadable if no usable response arrived, in which case the outcome
// of an order is unknown. Safe for concurrent use.
type Driver interface {
	Report(ctx context.Context) (Report, error)
	Load(ctx context.Context, order LoadOrder) error
	Unload(ctx context.Context, fence control.Fence, version string) error
	Drain(ctx context.Context, fence control.Fence) error
	Cancel(ctx context.Context, requestID string) error
}
