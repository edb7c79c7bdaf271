package node

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// proposal is a command to be appended to the leader's log. done is called
// once, with the result after the command was applied and can be acknowledged, or with an error.
type proposal struct {
	cmd  control.Command
	done func(control.Result, error)
}

// appended holds the proposals of one command in the log, and the tick at which it was appended.
type appended struct {
	proposals []proposal
	at        uint64
}

// applied is a command that was applied and is not acknowledged yet.
type applied struct {
	appended
	id    string
	index uint64
	res   control.Result
}

func (a *appended) fail(err error) {
	for _, p := range a.proposals {
		p.done(control.Result{}, err)
	}
}

// submitProposals appends the queued commands to the log. A retry of a command
// that is in the log but not acknowledged yet only waits for its result.
func (r *replica) submitProposals() {
	if len(r.newProposals) == 0 {
		return
	}
	queued := r.newProposals
	r.newProposals = nil
	var accepted []proposal
	var data [][]byte
	for _, p := range queued {
		if known := r.pendingProposals(p.cmd.ID); known != nil {
			known.proposals = append(known.proposals, p)
			continue
		}
		body, err := cbor.Marshal(p.cmd)
		if err != nil {
			p.done(control.Result{}, result.New(result.BadCommand, "encode command: %v", err))
			continue
		}
		r.appendedProposals[p.cmd.ID] = &appended{proposals: []proposal{p}, at: r.core.Ticks()}
		accepted = append(accepted, p)
		data = append(data, body)
	}
	if len(accepted) == 0 {
		return
	}
	if _, err := r.core.Propose(data...); err != nil {
		r.rejectProposals(accepted, err)
	}
}

// pendingProposals returns the proposals of a command that are not acknowledged yet, or nil.
func (r *replica) pendingProposals(id string) *appended {
	for _, a := range r.appliedProposals {
		if a.id == id {
			return &a.appended
		}
	}
	return r.appendedProposals[id]
}

// rejectProposals fails proposals, and retries of them, that the core did not
// append.
func (r *replica) rejectProposals(proposals []proposal, err error) {
	for _, p := range proposals {
		for _, waiter := range r.appendedProposals[p.cmd.ID].proposals {
			waiter.done(control.Result{}, codedError(err))
		}
		delete(r.appendedProposals, p.cmd.ID)
	}
}

// acknowledgeApplied acknowledges the applied commands that survive the losses of disks that the
// cluster must bear. The others wait until silent voters reply or are removed.
func (r *replica) acknowledgeApplied() {
	if len(r.appliedProposals) == 0 {
		return
	}
	standbys := r.membershipPolicy().standbys()
	r.appliedProposals = slices.DeleteFunc(r.appliedProposals, func(a *applied) bool {
		if !r.core.SurvivesLosses(a.index, a.at, r.cfg.FaultTolerance, standbys) {
			return false
		}
		for _, p := range a.proposals {
			p.done(a.res, nil)
		}
		if waited := r.core.Ticks() - a.at; waited > uint64(r.cfg.ElectionTicks) {
			r.log.Info("change was held until it survives the losses of disks to be borne", "command", a.id, "index", a.index, "ticks", waited)
		}
		return true
	})
}
