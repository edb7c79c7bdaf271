package state

import (
	"fmt"
	"slices"
	"strings"

	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// applyEdit decides a change of one or several files: all of it is accepted
// under one new revision, or nothing.
func (m *Machine) applyEdit(cmd control.Command) control.Result {
	edits := append([]control.Edit{*cmd.Edit}, cmd.Edit.With...)
	pending := m.pendingEdits(edits)
	if len(pending) == 0 {
		return m.alreadyAccepted(edits)
	}
	if res, ok := m.checkBases(pending); !ok {
		if revision, ok := m.decidedBefore(edits); ok {
			return control.Result{Revision: revision}
		}
		return m.refuseEdit(cmd, pending, res)
	}
	files := m.filesAfter(pending)
	merged, problems := m.merger.Merge(files)
	if len(problems) == 0 {
		problems = m.checkDigests(merged.Config)
	}
	if len(problems) > 0 {
		return m.refuseEdit(cmd, pending, refusal(problems[0].Code, describe(problems)))
	}
	return m.accept(cmd, pending, merged.Config)
}

// refuseEdit records a refusal; its result tells the revision in force.
func (m *Machine) refuseEdit(cmd control.Command, edits []control.Edit, res control.Result) control.Result {
	res.Revision = m.view.Load().revision
	m.history.refuse(m, cmd, edits, res)
	return res
}

// pendingEdits leaves out the edits whose outcome is in force already.
func (m *Machine) pendingEdits(edits []control.Edit) []control.Edit {
	var pending []control.Edit
	for _, e := range edits {
		f, exists := m.files[e.File]
		same := exists && !e.Remove && manifest.Sum(e.Content) == f.Digest
		if !same && (exists || !e.Remove) {
			pending = append(pending, e)
		}
	}
	return pending
}

// alreadyAccepted answers a resend with the revision that its content got.
func (m *Machine) alreadyAccepted(edits []control.Edit) control.Result {
	var revision uint64
	for _, e := range edits {
		f, ok := m.files[e.File]
		if !ok {
			revision = max(revision, m.removed[e.File])
			continue
		}
		revision = max(revision, f.Revision)
	}
	return control.Result{Revision: revision}
}

// decidedBefore finds the revision that accepted the very same change of one
// file after it was made. A resend whose first answer was lost finds it also
// when it comes under another ID and others have gone on since.
func (m *Machine) decidedBefore(edits []control.Edit) (uint64, bool) {
	e := edits[0]
	if len(edits) > 1 || e.Revision == 0 {
		return 0, false
	}
	var after manifest.Digest
	if !e.Remove {
		after = manifest.Sum(e.Content)
	}
	for _, c := range slices.Backward(m.history.accepted) {
		if c.Revision <= e.Revision && c.Revision != control.FirstRevision {
			break
		}
		if c.File == e.File && c.Before == e.Base && c.After == after {
			return c.Revision, true
		}
	}
	return 0, false
}

// checkBases refuses the change where a file moved on since it was made.
func (m *Machine) checkBases(edits []control.Edit) (control.Result, bool) {
	for i, e := range edits {
		f, ok := m.files[e.File]
		if !ok {
			f.Revision = m.removed[e.File]
		}
		if f.Digest != e.Base || (e.Revision > 0 && f.Revision > e.Revision) {
			return refusal(result.EditConflict, fmt.Sprintf("%s: made upon %s at revision %d, but %s is accepted at revision %d",
				e.File, describeDigest(e.Base), e.Revision, describeDigest(f.Digest), f.Revision)), false
		}
		if slices.ContainsFunc(edits[:i], func(o control.Edit) bool { return o.File == e.File }) {
			return refusal(result.BadCommand, e.File+" stands twice in one change"), false
		}
	}
	return control.Result{}, true
}

func describeDigest(d manifest.Digest) string {
	if d.IsZero() {
		return "no file"
	}
	return d.String()
}

func (m *Machine) filesAfter(edits []control.Edit) []config.File {
	var files []config.File
	for _, f := range m.sortedFiles() {
		if !slices.ContainsFunc(edits, func(e control.Edit) bool { return e.File == f.Name }) {
			files = append(files, config.File{Name: f.Name, Content: f.Content})
		}
	}
	for _, e := range edits {
		if !e.Remove {
			files = append(files, config.File{Name: e.File, Content: e.Content})
		}
	}
	return files
}

func describe(problems []*result.Error) string {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

func (m *Machine) accept(cmd control.Command, edits []control.Edit, c *config.Config) control.Result {
	revision := m.view.Load().revision + 1
	for _, e := range edits {
		before := m.files[e.File].Digest
		var after manifest.Digest
		if e.Remove {
			delete(m.files, e.File)
			m.noteRemoval(e.File, revision)
		} else {
			after = manifest.Sum(e.Content)
			delete(m.removed, e.File)
			m.files[e.File] = File{Name: e.File, Content: slices.Clone(e.Content), Digest: after, Revision: revision}
		}
		m.history.accept(m.changeOf(cmd, e, before, after, revision))
	}
	m.view.Store(&view{config: c, revision: revision})
	return control.Result{Revision: revision}
}

// maxRemoved bounds the remembered removals of files.
const maxRemoved = 4096

// noteRemoval remembers under which revision a file was removed, so that a
// folder which missed the removal can't bring the file back.
func (m *Machine) noteRemoval(file string, revision uint64) {
	m.removed[file] = revision
	if len(m.removed) <= maxRemoved {
		return
	}
	oldest := file
	for _, name := range sortedKeys(m.removed) {
		if m.removed[name] < m.removed[oldest] {
			oldest = name
		}
	}
	delete(m.removed, oldest)
}
