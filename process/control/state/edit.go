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

// applyEdit applies a change of one or more files. It is accepted as a whole,
// under one new revision, or rejected as a whole.
func (m *Machine) applyEdit(cmd control.Command) control.Result {
	edits := append([]control.Edit{*cmd.Edit}, cmd.Edit.With...)
	pending := m.pendingEdits(edits)
	if len(pending) == 0 {
		return m.acceptedResult(edits)
	}
	if res, ok := m.checkBases(pending); !ok {
		if revision, ok := m.findAccepted(edits); ok {
			return control.Result{Revision: revision}
		}
		return m.rejectEdit(cmd, pending, res)
	}
	files := m.filesWithEdits(pending)
	merged, problems := m.merger.Merge(files)
	if len(problems) == 0 {
		problems = m.checkDigests(merged.Config)
	}
	if len(problems) > 0 {
		return m.rejectEdit(cmd, pending, rejection(problems[0].Code, joinProblems(problems)))
	}
	return m.acceptEdits(cmd, pending, merged.Config)
}

// rejectEdit records a rejection and returns res with the revision in force.
func (m *Machine) rejectEdit(cmd control.Command, edits []control.Edit, res control.Result) control.Result {
	res.Revision = m.active.Load().revision
	m.history.addRejected(m, cmd, edits, res)
	return res
}

// pendingEdits returns the edits that would change the accepted files.
func (m *Machine) pendingEdits(edits []control.Edit) []control.Edit {
	var pending []control.Edit
	for _, e := range edits {
		f, exists := m.files[e.File]
		unchanged := exists && !e.Remove && manifest.Sum(e.Content) == f.Digest
		if !unchanged && (exists || !e.Remove) {
			pending = append(pending, e)
		}
	}
	return pending
}

// acceptedResult returns the result of a change that is already in force: the
// revision under which its content was accepted.
func (m *Machine) acceptedResult(edits []control.Edit) control.Result {
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

// findAccepted returns the revision that accepted the same change of one file,
// if the change was made before that revision. It recognizes a retry whose first
// result was lost, even with another ID and after later changes to the file.
func (m *Machine) findAccepted(edits []control.Edit) (uint64, bool) {
	edit := edits[0]
	if len(edits) > 1 || edit.Revision == 0 {
		return 0, false
	}
	var after manifest.Digest
	if !edit.Remove {
		after = manifest.Sum(edit.Content)
	}
	for _, change := range slices.Backward(m.history.accepted) {
		if change.Revision <= edit.Revision && change.Revision != control.FirstRevision {
			break
		}
		if change.File == edit.File && change.Before == edit.Base && change.After == after {
			return change.Revision, true
		}
	}
	return 0, false
}

// checkBases rejects the change if one of its files has changed since the edit
// was made, or if it contains a file twice.
func (m *Machine) checkBases(edits []control.Edit) (control.Result, bool) {
	for i, e := range edits {
		f, ok := m.files[e.File]
		if !ok {
			f.Revision = m.removed[e.File]
		}
		if f.Digest != e.Base || (e.Revision > 0 && f.Revision > e.Revision) {
			return rejection(result.EditConflict, fmt.Sprintf("%s: based on %s at revision %d, but %s was accepted at revision %d",
				e.File, describeDigest(e.Base), e.Revision, describeDigest(f.Digest), f.Revision)), false
		}
		if slices.ContainsFunc(edits[:i], func(o control.Edit) bool { return o.File == e.File }) {
			return rejection(result.BadCommand, e.File+" appears twice in one change"), false
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

func (m *Machine) filesWithEdits(edits []control.Edit) []config.File {
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

func joinProblems(problems []*result.Error) string {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

func (m *Machine) acceptEdits(cmd control.Command, edits []control.Edit, c *config.Config) control.Result {
	revision := m.active.Load().revision + 1
	for _, e := range edits {
		before := m.files[e.File].Digest
		var after manifest.Digest
		if e.Remove {
			delete(m.files, e.File)
			m.recordRemoval(e.File, revision)
		} else {
			after = manifest.Sum(e.Content)
			delete(m.removed, e.File)
			m.files[e.File] = File{Name: e.File, Content: slices.Clone(e.Content), Digest: after, Revision: revision}
		}
		m.history.addAccepted(m.newChange(cmd, e, before, after, revision))
	}
	m.active.Store(&activeConfig{config: c, revision: revision})
	return control.Result{Revision: revision}
}

// maxRemovals bounds the recorded removals of files.
const maxRemovals = 4096

// recordRemoval records the revision under which a file was removed, so that a
// folder that missed the removal can't add the file again.
func (m *Machine) recordRemoval(file string, revision uint64) {
	m.removed[file] = revision
	if len(m.removed) <= maxRemovals {
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
