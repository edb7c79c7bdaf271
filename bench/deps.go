// Package bench pins the libraries.
package bench

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cockroachdb/errors"
	_ "github.com/waxwingpost/waxwingpost"
	_ "golang.org/x/sync/errgroup"
)
