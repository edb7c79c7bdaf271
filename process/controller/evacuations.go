package controller

import (
	"context"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/waxwingpost/waxwingpost/platform"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/desired"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// unknownZoneTimeout bounds the quorum round that is made before a zone counts as unknown.
// Operators wait for a second.
const unknownZoneTimeout = 500 * time.Millisecond

// evacuationCall is an operator's call that starts or ends the evacuation of a zone.
type evacuationCall struct {
	zone  string
	start bool
}

// parseEvacuationPath returns the call with a decoded request path. isCall is false if the
// path is that of another call, and err is set if the path is malformed.
func parseEvacuationPath(path string) (call evacuationCall, isCall bool, err error) {
	for prefix, start := range map[string]bool{platform.PathStartEvacuation: true, platform.PathStopEvacuation: false} {
		zone, found := strings.CutPrefix(path, prefix)
		if !found && path != strings.TrimSuffix(prefix, "/") {
			continue
		}
		if !found {
			zone = ""
		}
		switch {
		case zone == "":
			err = result.New(result.BadRequest, "the path names no zone")
		case len(zone) > desired.MaxZoneBytes:
			err = result.New(result.BadRequest, "the zone has %d bytes, %d are allowed", len(zone), desired.MaxZoneBytes)
		case strings.Contains(zone, "/"):
			err = result.New(result.BadRequest, "the zone %q contains a slash", zone)
		}
		return evacuationCall{zone: zone, start: start}, true, err
	}
	return evacuationCall{}, false, nil
}

// withEvacuations serves the calls that concern evacuations, and passes others to next. It
// precedes the mux, which answers paths with empty or dotted elements with a redirection.
func (c *Controller) withEvacuations(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call, isCall, err := parseEvacuationPath(r.URL.Path)
		switch {
		case !isCall:
			next.ServeHTTP(w, r)
		case r.Method != http.MethodPost:
			w.Header().Set("Allow", http.MethodPost)
			w.WriteHeader(http.StatusMethodNotAllowed)
		default:
			if err == nil {
				err = c.changeEvacuation(r.Context(), call)
			}
			c.answerEvacuation(w, r, err)
		}
	})
}

// answerEvacuation answers an operator's call.
func (c *Controller) answerEvacuation(w http.ResponseWriter, r *http.Request, err error) {
	switch result.CodeOf(err) {
	case result.OK:
		_ = writeJSON(w, http.StatusOK, []byte("{}"))
	case result.NotFound:
		c.Log.Warn("operator call failed", "status", http.StatusNotFound, "code", int(result.NotFound), "error", err)
		_ = writeJSON(w, http.StatusNotFound, fmt.Appendf(nil, `{"code":%d}`, int(result.NotFound)))
	default:
		c.encodeError(r.Context(), err, w)
	}
}

// changeEvacuation commits the start or the end of an evacuation. The command is based on
// the zone's last one that this process knows when the call arrives. If another one was
// committed since, it is repeated on that basis, but not once the operator has left: it
// may have had an answer elsewhere and have made a later call by then.
func (c *Controller) changeEvacuation(ctx context.Context, call evacuationCall) error {
	r, err := c.currentReplica()
	if err != nil {
		return err
	}
	started := c.Clock.Now()
	// A proposal goes on if the connection breaks, as it is based on the state at the arrival.
	proposeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposeTimeout)
	defer cancel()
	if err := c.checkZone(proposeCtx, r, call.zone); err != nil {
		return err
	}
	s, _ := r.machine.Current()
	basis := s.Evacuations[call.zone].Index
	res, err := proposeEvacuation(call, basis, func(cmd control.Command) (control.Result, error) {
		return r.node.Propose(proposeCtx, cmd)
	}, func() bool {
		c.Scope.Counter("evacuation_conflicts").Inc(1)
		return ctx.Err() == nil && proposeCtx.Err() == nil
	})
	if err != nil {
		return err
	}
	took := c.Clock.Since(started)
	c.Scope.Timer("evacuation_acknowledged").Record(took)
	c.Log.Info("evacuation acknowledged", "zone", call.zone, "start", call.start, "changed", res.Revision == res.Index,
		"index", res.Index, "basis", basis, "took", took)
	return nil
}

// proposeEvacuation proposes the command of a call until it is not based on an earlier command
// than the zone's last one. mayRepeat reports whether it may be proposed again.
func proposeEvacuation(call evacuationCall, basis uint64, propose func(control.Command) (control.Result, error), mayRepeat func() bool) (control.Result, error) {
	for {
		res, err := propose(evacuationCommand(call, basis))
		if err == nil && res.Code != 0 {
			err = result.New(result.Code(res.Code), "%s", res.Detail)
		}
		if result.CodeOf(err) != result.StaleBasis || !mayRepeat() {
			return res, err
		}
		basis = res.Revision
	}
}

// evacuationCommand returns the command of a call. Commands with one ID are proposed once
// while the first is not applied, so that the ID states all that distinguishes them.
func evacuationCommand(call evacuationCall, basis uint64) control.Command {
	return control.Command{
		ID:         fmt.Sprintf("evacuation/%s/%t/%d", hex.EncodeToString([]byte(call.zone)), call.start, basis),
		Evacuation: &control.Evacuation{Zone: call.zone, Start: call.start, After: basis},
	}
}

// checkZone returns an error if a zone is not known: the settings do not list it, and it
// was never evacuated. The settings of another control process may have listed it.
func (c *Controller) checkZone(ctx context.Context, r *replica, zone string) error {
	known := func() bool {
		s, _ := r.machine.Current()
		_, recorded := s.Evacuations[zone]
		c.mu.Lock()
		_, listed := c.zones[zone]
		c.mu.Unlock()
		return recorded || listed
	}
	if known() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, unknownZoneTimeout)
	defer cancel()
	_ = r.node.Barrier(ctx) // without a quorum, what is known here holds
	if known() {
		return nil
	}
	return result.New(result.NotFound, "no zone %q", zone)
}
