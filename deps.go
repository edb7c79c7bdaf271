// Package waxwingpost pins the libraries.
package waxwingpost

import (
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/errors"
	_ "github.com/coder/websocket"
	_ "github.com/fsnotify/fsnotify"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/go-kit/kit/endpoint"
	_ "github.com/go-kit/kit/transport/http"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/renameio/v2"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/jonboulle/clockwork"
	_ "github.com/leanovate/gopter"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "github.com/zeebo/blake3"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
)
