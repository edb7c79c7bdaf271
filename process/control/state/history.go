package state

import (
	"slices"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Change is one decided change of one file.
type Change struct {
	Index uint64 `cbor:"1,keyasint" json:"index"`
	Term  uint64 `cbor:"2,keyasint" json:"term"`
	// Revision is the revision that the change made, or the one in force when
	// it was refused.
	Revision uint64          `cbor:"3,keyasint" json:"revision"`
	Time     int64           `cbor:"4,keyasint" json:"time_unix_ms"`
	VM       string          `cbor:"5,keyasint" json:"vm"`
	Author   string          `cbor:"6,keyasint,omitempty" json:"author,omitempty"`
	File     string          `cbor:"7,keyasint" json:"file"`
	Before   manifest.Digest `cbor:"8,keyasint" json:"before"`
	After    manifest.Digest `cbor:"9,keyasint" json:"after"`
	// Code is 0 for an accepted change, else the reason of the refusal.
	Code    int    `cbor:"10,keyasint" json:"code"`
	Detail  string `cbor:"11,keyasint,omitempty" json:"detail,omitempty"`
	Command string `cbor:"12,keyasint" json:"command"`
}

// Verdict returns "accepted" or "refused".
func (c Change) Verdict() string {
	if c.Code == 0 {
		return "accepted"
	}
	return "refused"
}

// Bounds on texts that proposers choose.
const (
	maxHistoryText = 512
	maxHistoryName = 128
)

// history keeps the last accepted and the last refused changes apart, so that
// a flood of refusals pushes no accepted change out.
type history struct {
	accepted []Change
	refused  []Change
	opts     Options
	// dropped counts the accepted changes that the bound has pushed out.
	dropped uint64
}

func newHistory(opts Options) *history {
	return &history{opts: opts}
}

func (h *history) accept(c Change) {
	h.accepted = append(h.accepted, c)
	if len(h.accepted) > h.opts.MaxChanges {
		h.accepted = h.accepted[1:]
		h.dropped++
	}
}

func (h *history) refuse(m *Machine, cmd control.Command, edits []control.Edit, res control.Result) {
	for _, e := range edits {
		var after manifest.Digest
		if !e.Remove {
			after = manifest.Sum(e.Content)
		}
		c := m.changeOf(cmd, e, m.files[e.File].Digest, after, m.view.Load().revision)
		c.Code, c.Detail = res.Code, shorten(res.Detail, maxHistoryText)
		h.refused = append(h.refused, c)
		if len(h.refused) > h.opts.MaxRefusals {
			h.refused = h.refused[1:]
		}
	}
}

func (m *Machine) changeOf(cmd control.Command, e control.Edit, before, after manifest.Digest, revision uint64) Change {
	return Change{
		Index: m.index, Term: m.term, Revision: revision, Time: m.stamp,
		VM: shorten(cmd.VM, maxHistoryName), Author: shorten(e.Author, maxHistoryName),
		File: shorten(e.File, maxHistoryName), Before: before, After: after,
		Command: shorten(cmd.ID, maxHistoryName),
	}
}

func shorten(s string, limit int) string {
	return s[:min(len(s), limit)]
}

func (h *history) find(match func(Change) bool) []Change {
	found := []Change{}
	for _, list := range [][]Change{h.accepted, h.refused} {
		for _, c := range list {
			if match(c) {
				found = append(found, c)
			}
		}
	}
	slices.SortStableFunc(found, func(a, b Change) int { return int(int64(a.Index) - int64(b.Index)) })
	return found
}
