package feed

import (
	"log/slog"
	"time"

	"github.com/waxwingpost/waxwingpost/connection/wire"
	"github.com/waxwingpost/waxwingpost/process/directory"
)

// applyVerifications applies verifications to a table and returns those that changed it.
func applyVerifications(table *directory.Table, verifications []directory.Verification, now time.Duration) []directory.Verification {
	var changed []directory.Verification
	for _, v := range verifications {
		if table.Verify(v, now) {
			changed = append(changed, v)
		}
	}
	return changed
}

// endVerifications ends the verifications that a server's report shows to have ended, and
// returns them. Only control processes conclude that: a server's reports and its agent's
// checks overtake each other, and an agent checks again only if its own view, which
// comes from a control process, shows that the verification has ended. The caller holds mu.
func (h *Hub) endVerifications(s directory.Server) []directory.Verification {
	ended := h.table.EndVerifications(s)
	logEnded(h.log, ended)
	return ended
}

func logEnded(log *slog.Logger, ended []directory.Verification) {
	for _, v := range ended {
		log.Info("verified weights are no longer held", "address", v.Address, "born", v.Born, "model", v.Model, "version", v.Version, "checked", v.Checked)
	}
}

// applyPeerVerifications applies the verifications in another control process's update. The
// changes go to all followers: entries that have no link to the sender must not miss them.
// ended lists those that this process found to have ended. The caller holds mu.
func (h *Hub) applyPeerVerifications(update wire.Update, ended []directory.Verification, now time.Duration) {
	changed := applyVerifications(h.table, update.Verified, now)
	for _, s := range update.Engines {
		changed = append(changed, applyVerifications(h.table, s.Verifications(), now)...)
	}
	if len(changed) > 0 {
		h.notifyFollowers(wire.Update{Verified: changed}, true)
	}
	if len(ended) > 0 {
		h.broadcast(wire.Update{Verified: ended}, true)
	}
}

// LinksOpened returns how many times a control process was linked to, and its full state
// received. A process that has restarted doesn't know what was reported to it before, while
// the view still contains that.
func (f *Follower) LinksOpened() uint64 { return f.linksOpened.Load() }
