package feed

import (
	"log/slog"
	"time"
)

// minLoggedSuspension is the shortest suspension of the VM that is logged.
const minLoggedSuspension = 100 * time.Millisecond

// logSuspension logs that the VM was suspended. Short gaps are those between the
// readings of the two clocks.
func logSuspension(log *slog.Logger, suspended time.Duration) {
	if suspended >= minLoggedSuspension {
		log.Warn("VM was suspended", "took", suspended)
	}
}
