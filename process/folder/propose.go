package folder

import (
	"cmp"
	"context"
	"encoding/hex"
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/zeebo/blake3"

	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/control/state"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// indexByName indexes files by name.
func indexByName(files []state.File) map[string]state.File {
	index := make(map[string]state.File, len(files))
	for _, f := range files {
		index[f.Name] = f
	}
	return index
}

// reconcile updates the saved state for files that need no proposal: unchanged
// files, and files whose content or absence matches the accepted state.
func (w *Watcher) reconcile(s *scan, accepted map[string]state.File) {
	changed := w.reconcilePendingEdits(s, accepted)
	for name, digest := range s.digests {
		known, ok := w.saved.Files[name]
		if ok && known == digest {
			changed = w.dropPendingEdit(name) || changed
			continue
		}
		if f, ok := accepted[name]; ok && f.Digest == digest {
			w.recordAccepted(name, digest, f.Revision)
			changed = true
		}
	}
	for name := range w.saved.Files {
		if _, ok := accepted[name]; !ok && !s.contains(name) {
			removedAt := w.machine.RemovalRevision(name)
			w.recordAccepted(name, manifest.Digest{}, removedAt)
			changed = true
		}
	}
	if changed {
		w.save()
	}
}

// reconcilePendingEdits records edits that were accepted although the proposal
// result was lost and that the operator has edited again since. It also drops
// the outcomes of refused files that no longer exist.
func (w *Watcher) reconcilePendingEdits(s *scan, accepted map[string]state.File) bool {
	changed := false
	for name, p := range w.saved.PendingEdits {
		if f, ok := accepted[name]; ok && f.Digest == p.Digest && s.digests[name] != p.Digest {
			w.recordAccepted(name, p.Digest, f.Revision)
			changed = true
		}
	}
	if len(w.saved.Outcomes) > maxOutcomes {
		w.pruneOutcomes(accepted)
	}
	for name, o := range w.saved.Outcomes {
		_, isKnown := w.saved.Files[name]
		_, isAccepted := accepted[name]
		if o.Decision != decisionAccepted && o.KeptPath == "" && !isKnown && !isAccepted && !s.contains(name) {
			delete(w.saved.Outcomes, name)
			delete(w.saved.PendingEdits, name)
			changed = true
		}
	}
	return changed
}

// maxOutcomes limits the number of outcomes before those of files that no longer
// exist are dropped.
const maxOutcomes = 512

// pruneOutcomes drops the oldest outcomes of files that no longer exist.
func (w *Watcher) pruneOutcomes(accepted map[string]state.File) {
	names := sortedNames(w.saved.Outcomes)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(w.saved.Outcomes[a].Revision, w.saved.Outcomes[b].Revision)
	})
	for _, name := range names {
		_, isKnown := w.saved.Files[name]
		_, isAccepted := accepted[name]
		if len(w.saved.Outcomes) > maxOutcomes && !isKnown && !isAccepted {
			delete(w.saved.Outcomes, name)
		}
	}
}

// dropPendingEdit drops an edit that the operator has undone.
func (w *Watcher) dropPendingEdit(name string) bool {
	_, pending := w.saved.PendingEdits[name]
	delete(w.saved.PendingEdits, name)
	if o := w.saved.Outcomes[name]; pending && o.Decision != decisionAccepted && o.KeptPath == "" {
		delete(w.saved.Outcomes, name)
	}
	return pending
}

// recordAccepted records that the folder holds the accepted content of a file.
func (w *Watcher) recordAccepted(name string, digest manifest.Digest, revision uint64) {
	if digest.IsZero() {
		delete(w.saved.Files, name)
	} else {
		w.saved.Files[name] = digest
	}
	delete(w.saved.PendingEdits, name)
	delete(w.observed, name)
	w.saved.KnownRevision = max(w.saved.KnownRevision, revision)
	w.recordOutcome(name, outcome{Decision: decisionAccepted, Digest: digest, Revision: revision})
}

// recordOutcome records an outcome and logs it if it is new.
func (w *Watcher) recordOutcome(name string, o outcome) {
	if w.saved.Outcomes[name] == o {
		return
	}
	w.saved.Outcomes[name] = o
	w.scope.Tagged(map[string]string{"verdict": o.Decision}).Counter("verdicts").Inc(1)
	attrs := []any{
		"event", "folder-verdict", "file", name, "verdict", o.Decision, "digest", o.Digest.String(),
		"revision", o.Revision, "code", o.Code,
	}
	if o.Detail != "" {
		attrs = append(attrs, "detail", o.Detail)
	}
	if o.KeptPath != "" {
		attrs = append(attrs, "kept", o.KeptPath)
	}
	w.log.Info("edit outcome changed", attrs...)
}

// candidate is an edit found in the folder.
type candidate struct {
	name    string
	pending pendingEdit
	content []byte
}

// processEdits proposes stable edits and applies the decisions.
func (w *Watcher) processEdits(ctx context.Context, s *scan, accepted map[string]state.File) {
	w.recordUnreadable(s)
	found := w.findCandidates(s)
	var proposals, held []candidate
	for _, c := range found {
		switch w.decideAction(c, s, accepted) {
		case actionPropose:
			// Validate here first, so that input that hangs the validation
			// blocks this watcher and not the replicas.
			w.validateEdits([]candidate{c}, accepted)
			proposals = append(proposals, w.markRetry(c))
		case actionHold:
			held = append(held, c)
		}
	}
	if len(proposals) == 0 || !w.save() {
		return
	}
	if batch := w.selectBatch(proposals, held, accepted); len(batch) > 1 {
		w.proposeBatch(ctx, s, batch)
		return
	}
	for _, c := range proposals {
		if !w.proposeOne(ctx, s, c) {
			return
		}
	}
}

// recordUnreadable records a refusal for files that can't be read and so can't be
// proposed.
func (w *Watcher) recordUnreadable(s *scan) {
	_, revision := w.machine.Config()
	for name, p := range s.problems {
		if !w.isStable(name, manifest.Sum([]byte(p.Error()))) {
			continue
		}
		if o := w.saved.Outcomes[name]; o.Code == int(p.Code) && o.Detail == p.Error() {
			continue
		}
		w.recordOutcome(name, outcome{Decision: decisionRefused, Code: int(p.Code), Detail: p.Error(), Revision: revision})
	}
}

// findCandidates returns the stable edits in the folder, removals last.
func (w *Watcher) findCandidates(s *scan) []candidate {
	var edits, removals []candidate
	for name, digest := range s.digests {
		if w.saved.Files[name] == digest {
			continue
		}
		p := w.pendingEditFor(name, digest)
		if w.isStable(name, digest) {
			edits = append(edits, candidate{name: name, pending: p, content: s.files[name].Content})
		}
	}
	for name := range w.saved.Files {
		if s.contains(name) {
			continue
		}
		p := w.pendingEditFor(name, manifest.Digest{})
		if w.isStable(name, manifest.Digest{}) {
			removals = append(removals, candidate{name: name, pending: p})
		}
	}
	byName := func(a, b candidate) int { return strings.Compare(a.name, b.name) }
	slices.SortFunc(edits, byName)
	slices.SortFunc(removals, byName)
	return append(edits, removals...)
}

// pendingEditFor returns the pending edit of a file. It is created when the edit
// is first seen, before a write-back of other files advances the folder's
// revision. Further changes to an edited file keep the base of the first edit.
func (w *Watcher) pendingEditFor(name string, digest manifest.Digest) pendingEdit {
	p, ok := w.saved.PendingEdits[name]
	if ok && p.Digest == digest {
		return p
	}
	if ok {
		p.Digest, p.Retry = digest, 0
		w.saved.PendingEdits[name] = p
		return p
	}
	p = pendingEdit{Digest: digest, Base: w.saved.Files[name], Revision: max(w.saved.Revision, control.FirstRevision)}
	if o := w.saved.Outcomes[name]; o.Decision == decisionAccepted && o.Digest == p.Base {
		p.Revision = max(p.Revision, o.Revision)
	}
	w.saved.PendingEdits[name] = p
	return p
}

// editAction is what to do with an edit.
type editAction int

const (
	actionHold editAction = iota
	actionPropose
	actionNone
)

// decideAction decides whether to propose an edit. A refused edit is held until
// its content changes, a newer revision makes it valid, or newer accepted
// content of the file replaces it.
func (w *Watcher) decideAction(c candidate, s *scan, accepted map[string]state.File) editAction {
	o := w.saved.Outcomes[c.name]
	if o.Decision != decisionRefused || o.Digest != c.pending.Digest {
		return actionPropose
	}
	if accepted[c.name].Digest != c.pending.Base {
		w.yieldToAccepted(c, s, outcome{
			Decision: decisionRefused, Digest: c.pending.Digest, Code: int(result.EditConflict), Revision: o.Revision,
			Detail: fmt.Sprintf("refused earlier (%d), and the file has changed since; the edit is based on %s", o.Code, c.pending.Base),
		})
		return actionNone
	}
	_, revision := w.machine.Config()
	if revision > o.Revision && len(w.validateEdits([]candidate{c}, accepted)) == 0 {
		return actionPropose
	}
	return actionHold
}

// markRetry marks a refused edit that is proposed again. It needs a new command
// ID, because the control state keeps the result of the refused command.
func (w *Watcher) markRetry(c candidate) candidate {
	o := w.saved.Outcomes[c.name]
	if o.Decision == decisionRefused && o.Digest == c.pending.Digest && c.pending.Retry <= o.Revision {
		c.pending.Retry = o.Revision + 1
		w.saved.PendingEdits[c.name] = c.pending
	}
	return c
}

// validateEdits merges the accepted files with the edits applied to them and
// returns the problems.
func (w *Watcher) validateEdits(edits []candidate, accepted map[string]state.File) []*result.Error {
	files := make(map[string]config.File, len(accepted))
	for name, f := range accepted {
		files[name] = config.File{Name: name, Content: f.Content}
	}
	for _, c := range edits {
		delete(files, c.name)
		if !c.pending.Digest.IsZero() {
			files[c.name] = config.File{Name: c.name, Content: c.content}
		}
	}
	list := make([]config.File, 0, len(files))
	for _, f := range files {
		list = append(list, f)
	}
	_, problems := config.Merge(list)
	return problems
}

// selectBatch returns the edits to propose as one change: all edits in the folder
// if they are valid together, else the new edits if those are valid together,
// else nil.
func (w *Watcher) selectBatch(proposals, held []candidate, accepted map[string]state.File) []candidate {
	all := append(slices.Clone(proposals), held...)
	if len(held) > 0 && len(w.validateEdits(all, accepted)) == 0 {
		for i := range all {
			all[i] = w.markRetry(all[i])
		}
		return all
	}
	if len(proposals) > 1 && len(w.validateEdits(proposals, accepted)) == 0 {
		return proposals
	}
	return nil
}

func (w *Watcher) newEdit(c candidate) control.Edit {
	return control.Edit{
		File: c.name, Base: c.pending.Base, Content: c.content, Remove: c.pending.Digest.IsZero(),
		Revision: c.pending.Revision, Author: ownerOf(filepath.Join(w.cfg.Path, c.name)),
	}
}

// commandID derives the ID of a command from the VM and the edits, so that a
// retry has the same ID.
func commandID(vm string, edits []candidate) string {
	h := blake3.New()
	for _, c := range edits {
		_, _ = fmt.Fprintf(h, "%q %q %s %s %d %d\n", vm, c.name, c.pending.Base, c.pending.Digest, c.pending.Revision, c.pending.Retry)
	}
	return "edit-" + hex.EncodeToString(h.Sum(nil)[:16])
}

// propose proposes edits as one change. It returns false if the proposal is not
// decided.
func (w *Watcher) propose(ctx context.Context, edits []candidate) (control.Result, bool) {
	first := w.newEdit(edits[0])
	for _, c := range edits[1:] {
		first.With = append(first.With, w.newEdit(c))
	}
	ctx, cancel := context.WithTimeout(ctx, w.cfg.ProposeTimeout)
	defer cancel()
	res, err := w.store.Propose(ctx, control.Command{
		ID: commandID(w.cfg.VM, edits), Edit: &first, Time: w.clock.Now().UnixMilli(), VM: w.cfg.VM,
	})
	if err == nil {
		w.saved.KnownRevision = max(w.saved.KnownRevision, res.Revision)
		return res, true
	}
	w.scheduleWithin(w.cfg.RetryInterval)
	for _, c := range edits {
		w.recordOutcome(c.name, outcome{
			Decision: decisionUndecided, Digest: c.pending.Digest, Code: int(result.NotDecided),
			Detail: "not decided yet, will retry: " + result.CodeOf(err).Name(),
		})
	}
	return res, false
}

// proposeBatch proposes edits as one change. If that is refused, it proposes each
// edit by itself.
func (w *Watcher) proposeBatch(ctx context.Context, s *scan, edits []candidate) {
	if !w.save() {
		return
	}
	res, decided := w.propose(ctx, edits)
	if decided && res.Code == 0 {
		for _, c := range edits {
			w.recordAccepted(c.name, c.pending.Digest, res.Revision)
		}
	}
	w.save()
	if !decided || res.Code == 0 {
		return
	}
	for _, c := range edits {
		if !w.proposeOne(ctx, s, c) {
			return
		}
	}
}

// proposeOne proposes one edit and applies the decision. It returns false if the
// proposal is not decided or the state could not be saved.
func (w *Watcher) proposeOne(ctx context.Context, s *scan, c candidate) bool {
	res, decided := w.propose(ctx, []candidate{c})
	if !decided {
		return false
	}
	o := outcome{Decision: decisionRefused, Digest: c.pending.Digest, Code: res.Code, Detail: res.Detail, Revision: res.Revision}
	switch {
	case res.Code == 0:
		w.recordAccepted(c.name, c.pending.Digest, res.Revision)
	case res.Code == int(result.EditConflict):
		w.yieldToAccepted(c, s, o)
	case c.pending.Digest.IsZero():
		delete(w.saved.Files, c.name)
		delete(w.saved.PendingEdits, c.name)
		w.recordOutcome(c.name, o)
	default:
		w.recordOutcome(c.name, o)
	}
	return w.save()
}

// yieldToAccepted gives up an edit in favor of newer accepted content. It keeps a
// copy of the operator's file beside the folder and lets the write-back replace
// the file.
func (w *Watcher) yieldToAccepted(c candidate, s *scan, o outcome) {
	if c.pending.Digest.IsZero() {
		delete(w.saved.Files, c.name)
	} else {
		kept, err := w.keepCopy(c.name, s.files[c.name].Content, c.pending.Digest)
		if err != nil {
			w.log.Error("failed to keep a copy of a refused file", "event", "folder-keep", "file", c.name, "code", int(result.DiskFailed), "error", err.Error())
			return
		}
		o.KeptPath = kept
		w.saved.Files[c.name] = c.pending.Digest
	}
	delete(w.saved.PendingEdits, c.name)
	w.recordOutcome(c.name, o)
}
