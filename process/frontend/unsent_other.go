//go:build !linux

package frontend

import "context"

// unsent returns a negative number: what the caller has not acknowledged is unknown.
func unsent(context.Context) int { return -1 }
