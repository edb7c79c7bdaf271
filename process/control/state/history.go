package state

import (
	"slices"
	"unicode/utf8"

	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Change is an accepted or rejected change of one file.
type Change struct {
	Index uint64 `cbor:"1,keyasint" json:"index"`
	Term  uint64 `cbor:"2,keyasint" json:"term"`
	// Revision is the revision created by the change, or the one in force when
	// it was rejected.
	Revision uint64          `cbor:"3,keyasint" json:"revision"`
	Time     int64           `cbor:"4,keyasint" json:"time_unix_ms"`
	VM       string          `cbor:"5,keyasint" json:"vm"`
	Author   string          `cbor:"6,keyasint,omitempty" json:"author,omitempty"`
	File     string          `cbor:"7,keyasint" json:"file"`
	Before   manifest.Digest `cbor:"8,keyasint" json:"before"`
	After    manifest.Digest `cbor:"9,keyasint" json:"after"`
	// Code is 0 for an accepted change, otherwise the reason for the rejection.
	Code    int    `cbor:"10,keyasint" json:"code"`
	Detail  string `cbor:"11,keyasint,omitempty" json:"detail,omitempty"`
	Command string `cbor:"12,keyasint" json:"command"`
}

// Outcome returns "accepted" or "refused".
func (c Change) Outcome() string {
	if c.Code == 0 {
		return "accepted"
	}
	return "refused"
}

// Limits in bytes for strings chosen by the proposer.
const (
	maxHistoryDetail = 512
	maxHistoryName   = 128
)

// history holds the most recent accepted and rejected changes in separate lists,
// so that many rejections don't evict accepted changes.
type history struct {
	accepted []Change
	rejected []Change
	opts     Options
	// dropped counts the evicted accepted changes.
	dropped uint64
}

func newHistory(opts Options) *history {
	return &history{opts: opts}
}

func (h *history) addAccepted(c Change) {
	h.accepted = append(h.accepted, c)
	if len(h.accepted) > h.opts.MaxAcceptedChanges {
		h.accepted = h.accepted[1:]
		h.dropped++
	}
}

func (h *history) addRejected(m *Machine, cmd control.Command, edits []control.Edit, res control.Result) {
	for _, e := range edits {
		var after manifest.Digest
		if !e.Remove {
			after = manifest.Sum(e.Content)
		}
		c := m.newChange(cmd, e, m.files[e.File].Digest, after, m.active.Load().revision)
		c.Code, c.Detail = res.Code, truncate(res.Detail, maxHistoryDetail)
		h.rejected = append(h.rejected, c)
		if len(h.rejected) > h.opts.MaxRejectedChanges {
			h.rejected = h.rejected[1:]
		}
	}
}

func (m *Machine) newChange(cmd control.Command, e control.Edit, before, after manifest.Digest, revision uint64) Change {
	return Change{
		Index: m.index, Term: m.term, Revision: revision, Time: m.proposedAt,
		VM: truncate(cmd.VM, maxHistoryName), Author: truncate(e.Author, maxHistoryName),
		File: truncate(e.File, maxHistoryName), Before: before, After: after,
		Command: truncate(cmd.ID, maxHistoryName),
	}
}

// truncate cuts a text to maxBytes at most, between two characters: CBOR decoders refuse
// texts that are not valid UTF-8.
func truncate(s string, maxBytes int) string {
	if len(s) <= maxBytes {
		return s
	}
	for maxBytes > 0 && !utf8.RuneStart(s[maxBytes]) {
		maxBytes--
	}
	return s[:maxBytes]
}

func (h *history) filter(match func(Change) bool) []Change {
	found := []Change{}
	for _, list := range [][]Change{h.accepted, h.rejected} {
		for _, c := range list {
			if match(c) {
				found = append(found, c)
			}
		}
	}
	slices.SortStableFunc(found, func(a, b Change) int { return int(int64(a.Index) - int64(b.Index)) })
	return found
}
