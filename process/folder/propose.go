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

// accepted indexes accepted files by name.
func accepted(files []state.File) map[string]state.File {
	index := make(map[string]state.File, len(files))
	for _, f := range files {
		index[f.Name] = f
	}
	return index
}

// absorb takes note of what is in step: files that hold what they held last,
// and those that hold, or lack, what is accepted by now.
func (w *Watcher) absorb(s *scan, inForce map[string]state.File) {
	changed := w.absorbPins(s, inForce)
	for name, digest := range s.digests {
		known, ok := w.memory.Files[name]
		if ok && known == digest {
			changed = w.unpin(name) || changed
			continue
		}
		if f, ok := inForce[name]; ok && f.Digest == digest {
			w.settle(name, digest, f.Revision)
			changed = true
		}
	}
	for name := range w.memory.Files {
		if _, ok := inForce[name]; !ok && !s.has(name) {
			removed := w.machine.Removed(name)
			w.settle(name, manifest.Digest{}, removed)
			changed = true
		}
	}
	if changed {
		w.save()
	}
}

// absorbPins settles edits that were accepted although their answer was lost
// and that the operator has edited further since, and forgets refused files
// that are gone.
func (w *Watcher) absorbPins(s *scan, inForce map[string]state.File) bool {
	changed := false
	for name, p := range w.memory.Pins {
		if f, ok := inForce[name]; ok && f.Digest == p.Digest && s.digests[name] != p.Digest {
			w.settle(name, p.Digest, f.Revision)
			changed = true
		}
	}
	if len(w.memory.Notes) > maxNotes {
		w.dropNotes(inForce)
	}
	for name, n := range w.memory.Notes {
		_, known := w.memory.Files[name]
		_, accepted := inForce[name]
		if n.Verdict != verdictAccepted && n.Kept == "" && !known && !accepted && !s.has(name) {
			delete(w.memory.Notes, name)
			delete(w.memory.Pins, name)
			changed = true
		}
	}
	return changed
}

// maxNotes bounds the verdicts on files that are no longer there.
const maxNotes = 512

// dropNotes drops the oldest verdicts on files that are gone.
func (w *Watcher) dropNotes(inForce map[string]state.File) {
	names := sortedNames(w.memory.Notes)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(w.memory.Notes[a].Revision, w.memory.Notes[b].Revision)
	})
	for _, name := range names {
		_, known := w.memory.Files[name]
		_, accepted := inForce[name]
		if len(w.memory.Notes) > maxNotes && !known && !accepted {
			delete(w.memory.Notes, name)
		}
	}
}

// unpin forgets an edit that the operator has undone.
func (w *Watcher) unpin(name string) bool {
	_, pinned := w.memory.Pins[name]
	delete(w.memory.Pins, name)
	if n := w.memory.Notes[name]; pinned && n.Verdict != verdictAccepted && n.Kept == "" {
		delete(w.memory.Notes, name)
	}
	return pinned
}

// settle notes that the folder holds the accepted content of a file.
func (w *Watcher) settle(name string, digest manifest.Digest, revision uint64) {
	if digest.IsZero() {
		delete(w.memory.Files, name)
	} else {
		w.memory.Files[name] = digest
	}
	delete(w.memory.Pins, name)
	delete(w.settling, name)
	w.memory.Known = max(w.memory.Known, revision)
	w.note(name, note{Verdict: verdictAccepted, Digest: digest, Revision: revision})
}

// note records a verdict and logs it when it is new.
func (w *Watcher) note(name string, n note) {
	if w.memory.Notes[name] == n {
		return
	}
	w.memory.Notes[name] = n
	w.scope.Tagged(map[string]string{"verdict": n.Verdict}).Counter("verdicts").Inc(1)
	attrs := []any{
		"event", "folder-verdict", "file", name, "verdict", n.Verdict, "digest", n.Digest.String(),
		"revision", n.Revision, "code", n.Code,
	}
	if n.Detail != "" {
		attrs = append(attrs, "detail", n.Detail)
	}
	if n.Kept != "" {
		attrs = append(attrs, "kept", n.Kept)
	}
	w.log.Info("verdict on a change", attrs...)
}

// candidate is an edit that stands in the folder.
type candidate struct {
	name    string
	pin     pin
	content []byte
}

// propose sends the edits that have settled and carries out their verdicts.
func (w *Watcher) propose(ctx context.Context, s *scan, inForce map[string]state.File) {
	w.refuseUnreadable(s)
	found := w.candidates(s)
	var send, held []candidate
	for _, c := range found {
		switch w.stage(c, s, inForce) {
		case stageSend:
			// Validated here first: input that hangs the validation hangs
			// this watcher and not the replicas.
			w.check([]candidate{c}, inForce)
			send = append(send, w.again(c))
		case stageHeld:
			held = append(held, c)
		}
	}
	if len(send) == 0 || !w.save() {
		return
	}
	if batch := w.choose(send, held, inForce); len(batch) > 1 {
		w.sendBatch(ctx, s, batch)
		return
	}
	for _, c := range send {
		if !w.sendOne(ctx, s, c) {
			return
		}
	}
}

// refuseUnreadable notes files that can't be proposed at all.
func (w *Watcher) refuseUnreadable(s *scan) {
	_, revision := w.machine.Config()
	for name, p := range s.problems {
		if !w.settled(name, manifest.Sum([]byte(p.Error()))) {
			continue
		}
		if n := w.memory.Notes[name]; n.Code == int(p.Code) && n.Detail == p.Error() {
			continue
		}
		w.note(name, note{Verdict: verdictRefused, Code: int(p.Code), Detail: p.Error(), Revision: revision})
	}
}

// candidates lists the edits in the folder that have settled, removals last.
func (w *Watcher) candidates(s *scan) []candidate {
	var edits, removals []candidate
	for name, digest := range s.digests {
		if w.memory.Files[name] == digest {
			continue
		}
		p := w.pinFor(name, digest)
		if w.settled(name, digest) {
			edits = append(edits, candidate{name: name, pin: p, content: s.files[name].Content})
		}
	}
	for name := range w.memory.Files {
		if s.has(name) {
			continue
		}
		p := w.pinFor(name, manifest.Digest{})
		if w.settled(name, manifest.Digest{}) {
			removals = append(removals, candidate{name: name, pin: p})
		}
	}
	byName := func(a, b candidate) int { return strings.Compare(a.name, b.name) }
	slices.SortFunc(edits, byName)
	slices.SortFunc(removals, byName)
	return append(edits, removals...)
}

// pinFor returns the pin of an edit. It is made when the edit is first seen,
// before a write-back of other files moves the folder's revision on; an edit
// of an edit is made upon the same.
func (w *Watcher) pinFor(name string, digest manifest.Digest) pin {
	p, ok := w.memory.Pins[name]
	if ok && p.Digest == digest {
		return p
	}
	if ok {
		p.Digest, p.Try = digest, 0
		w.memory.Pins[name] = p
		return p
	}
	p = pin{Digest: digest, Base: w.memory.Files[name], Revision: max(w.memory.Revision, control.FirstRevision)}
	if n := w.memory.Notes[name]; n.Verdict == verdictAccepted && n.Digest == p.Base {
		p.Revision = max(p.Revision, n.Revision)
	}
	w.memory.Pins[name] = p
	return p
}

type stage int

const (
	stageHeld stage = iota
	stageSend
	stageDone
)

// stage decides whether an edit is to be sent. One that was refused stays
// until its content changes, a newer revision makes it valid, or a newer
// accepted content of the file replaces it.
func (w *Watcher) stage(c candidate, s *scan, inForce map[string]state.File) stage {
	n := w.memory.Notes[c.name]
	if n.Verdict != verdictRefused || n.Digest != c.pin.Digest {
		return stageSend
	}
	if inForce[c.name].Digest != c.pin.Base {
		w.displace(c, s, note{
			Verdict: verdictRefused, Digest: c.pin.Digest, Code: int(result.EditConflict), Revision: n.Revision,
			Detail: fmt.Sprintf("refused before (%d), and the file was changed since; it was made upon %s", n.Code, c.pin.Base),
		})
		return stageDone
	}
	_, revision := w.machine.Config()
	if revision > n.Revision && len(w.check([]candidate{c}, inForce)) == 0 {
		return stageSend
	}
	return stageHeld
}

// again marks a refused edit that is sent once more, because the result of
// the first command is recorded under its ID.
func (w *Watcher) again(c candidate) candidate {
	n := w.memory.Notes[c.name]
	if n.Verdict == verdictRefused && n.Digest == c.pin.Digest && c.pin.Try <= n.Revision {
		c.pin.Try = n.Revision + 1
		w.memory.Pins[c.name] = c.pin
	}
	return c
}

// check merges the accepted files with edits laid over them.
func (w *Watcher) check(edits []candidate, inForce map[string]state.File) []*result.Error {
	files := make(map[string]config.File, len(inForce))
	for name, f := range inForce {
		files[name] = config.File{Name: name, Content: f.Content}
	}
	for _, c := range edits {
		delete(files, c.name)
		if !c.pin.Digest.IsZero() {
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

// choose returns the edits to send as one change: all that stand in the
// folder where they are valid together, else the new ones where these are.
func (w *Watcher) choose(send, held []candidate, inForce map[string]state.File) []candidate {
	all := append(slices.Clone(send), held...)
	if len(held) > 0 && len(w.check(all, inForce)) == 0 {
		for i := range all {
			all[i] = w.again(all[i])
		}
		return all
	}
	if len(send) > 1 && len(w.check(send, inForce)) == 0 {
		return send
	}
	return nil
}

func (w *Watcher) editOf(c candidate) control.Edit {
	return control.Edit{
		File: c.name, Base: c.pin.Base, Content: c.content, Remove: c.pin.Digest.IsZero(),
		Revision: c.pin.Revision, Author: authorOf(filepath.Join(w.cfg.Path, c.name)),
	}
}

// commandID derives the ID of a command from the VM and the edits, so that a
// resend is the same command.
func commandID(vm string, edits []candidate) string {
	h := blake3.New()
	for _, c := range edits {
		_, _ = fmt.Fprintf(h, "%q %q %s %s %d %d\n", vm, c.name, c.pin.Base, c.pin.Digest, c.pin.Revision, c.pin.Try)
	}
	return "edit-" + hex.EncodeToString(h.Sum(nil)[:16])
}

// send proposes edits as one change. It returns false without a verdict.
func (w *Watcher) send(ctx context.Context, edits []candidate) (control.Result, bool) {
	first := w.editOf(edits[0])
	for _, c := range edits[1:] {
		first.With = append(first.With, w.editOf(c))
	}
	ctx, cancel := context.WithTimeout(ctx, w.cfg.ProposeTimeout)
	defer cancel()
	res, err := w.store.Propose(ctx, control.Command{
		ID: commandID(w.cfg.VM, edits), Edit: &first, Time: w.clock.Now().UnixMilli(), VM: w.cfg.VM,
	})
	if err == nil {
		w.memory.Known = max(w.memory.Known, res.Revision)
		return res, true
	}
	w.wake(w.cfg.RetryEvery)
	for _, c := range edits {
		w.note(c.name, note{
			Verdict: verdictUndecided, Digest: c.pin.Digest, Code: int(result.NotDecided),
			Detail: "no verdict yet; it is sent again: " + result.CodeOf(err).Name(),
		})
	}
	return res, false
}

func (w *Watcher) sendBatch(ctx context.Context, s *scan, edits []candidate) {
	if !w.save() {
		return
	}
	res, decided := w.send(ctx, edits)
	if decided && res.Code == 0 {
		for _, c := range edits {
			w.settle(c.name, c.pin.Digest, res.Revision)
		}
	}
	w.save()
	if !decided || res.Code == 0 {
		return
	}
	for _, c := range edits {
		if !w.sendOne(ctx, s, c) {
			return
		}
	}
}

// sendOne proposes one edit and carries out its verdict.
func (w *Watcher) sendOne(ctx context.Context, s *scan, c candidate) bool {
	res, decided := w.send(ctx, []candidate{c})
	if !decided {
		return false
	}
	verdict := note{Verdict: verdictRefused, Digest: c.pin.Digest, Code: res.Code, Detail: res.Detail, Revision: res.Revision}
	switch {
	case res.Code == 0:
		w.settle(c.name, c.pin.Digest, res.Revision)
	case res.Code == int(result.EditConflict):
		w.displace(c, s, verdict)
	case c.pin.Digest.IsZero():
		delete(w.memory.Files, c.name)
		delete(w.memory.Pins, c.name)
		w.note(c.name, verdict)
	default:
		w.note(c.name, verdict)
	}
	return w.save()
}

// displace gives way to the accepted content: the operator's file is kept
// beside the folder, and the write-back replaces it.
func (w *Watcher) displace(c candidate, s *scan, verdict note) {
	if c.pin.Digest.IsZero() {
		delete(w.memory.Files, c.name)
	} else {
		kept, err := w.keep(c.name, s.files[c.name].Content, c.pin.Digest)
		if err != nil {
			w.log.Error("a refused file could not be kept", "event", "folder-keep", "file", c.name, "code", int(result.DiskFailed), "error", err.Error())
			return
		}
		verdict.Kept = kept
		w.memory.Files[c.name] = c.pin.Digest
	}
	delete(w.memory.Pins, c.name)
	w.note(c.name, verdict)
}
