package folder

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/waxwingpost/waxwingpost/process/control/state"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// Status reports the state of the folder and its edits to operators. It is
// written to the file FOLDER.status.yaml beside the folder.
type Status struct {
	VM string `yaml:"vm" json:"vm"`
	// Revision is the accepted revision in force on this VM.
	Revision uint64 `yaml:"revision" json:"revision"`
	// FolderRevision is the accepted revision that the folder holds.
	FolderRevision uint64 `yaml:"folder_revision" json:"folder_revision"`
	// InQuorum reports whether this VM is in contact with the control quorum.
	InQuorum bool           `yaml:"in_quorum" json:"in_quorum"`
	Folder   Problem        `yaml:"folder" json:"folder"`
	Files    []FileStatus   `yaml:"files" json:"files"`
	Changes  []ChangeStatus `yaml:"changes" json:"changes"`
	Ignored  []string       `yaml:"ignored,omitempty" json:"ignored,omitempty"`
	Written  string         `yaml:"written" json:"written"`
}

// Problem describes an error of the folder as a whole. Code 0 means none.
type Problem struct {
	Code   int    `yaml:"code" json:"code"`
	Name   string `yaml:"name" json:"name"`
	Detail string `yaml:"detail,omitempty" json:"detail,omitempty"`
}

// FileStatus is an accepted file.
type FileStatus struct {
	File     string `yaml:"file" json:"file"`
	Revision uint64 `yaml:"accepted_at_revision" json:"accepted_at_revision"`
	Digest   string `yaml:"digest" json:"digest"`
}

// ChangeStatus is the last decision on an edit that was made in this folder.
type ChangeStatus struct {
	File     string `yaml:"file" json:"file"`
	Decision string `yaml:"verdict" json:"verdict"`
	// Digest is the digest of the edited content; empty for a removal.
	Digest   string `yaml:"digest,omitempty" json:"digest,omitempty"`
	Revision uint64 `yaml:"revision" json:"revision"`
	Code     int    `yaml:"code" json:"code"`
	Name     string `yaml:"name" json:"name"`
	Detail   string `yaml:"detail,omitempty" json:"detail,omitempty"`
	KeptPath string `yaml:"kept,omitempty" json:"kept,omitempty"`
}

// Status returns the last status.
func (w *Watcher) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.status
}

// publishStatus writes the status file if the status has changed.
func (w *Watcher) publishStatus(s *scan, files []state.File, revision uint64, problem *result.Error) {
	st := Status{
		VM: w.cfg.VM, Revision: revision, FolderRevision: w.saved.Revision, InQuorum: w.store.InQuorum(),
		Folder: Problem{Name: result.OK.Name()}, Files: []FileStatus{}, Changes: []ChangeStatus{}, Ignored: s.ignored,
	}
	if problem != nil {
		st.Folder = Problem{Code: int(problem.Code), Name: problem.Code.Name(), Detail: problem.Detail}
	}
	for _, f := range files {
		st.Files = append(st.Files, FileStatus{File: f.Name, Revision: f.Revision, Digest: f.Digest.String()})
	}
	for _, name := range sortedNames(w.saved.Outcomes) {
		st.Changes = append(st.Changes, changeStatus(name, w.saved.Outcomes[name]))
	}
	w.writeStatus(st)
}

func changeStatus(name string, o outcome) ChangeStatus {
	c := ChangeStatus{
		File: name, Decision: o.Decision, Revision: o.Revision, Code: o.Code,
		Name: result.Code(o.Code).Name(), Detail: o.Detail, KeptPath: o.KeptPath,
	}
	if !o.Digest.IsZero() {
		c.Digest = o.Digest.String()
	}
	return c
}

// writeStatus writes the status file and updates the status that Status returns.
// It does nothing if the status is unchanged.
func (w *Watcher) writeStatus(st Status) {
	text, err := yaml.Marshal(st)
	if err != nil || string(text) == w.statusText {
		return
	}
	if problem := st.Folder; problem.Code != 0 && problem != w.Status().Folder {
		w.log.Warn("configuration folder not used", "event", "folder-suspicious", "code", problem.Code, "detail", problem.Detail)
	}
	w.statusText = string(text)
	st.Written = w.clock.Now().UTC().Format(time.RFC3339Nano)
	if text, err = yaml.Marshal(st); err == nil {
		err = w.replaceStatusFile(text)
	}
	if err != nil {
		w.statusText = ""
		w.log.Error("failed to write status file", "event", "folder-status", "code", int(result.DiskFailed), "error", err.Error())
	}
	w.mu.Lock()
	w.status = st
	w.mu.Unlock()
}

// replaceStatusFile replaces the status file atomically. It does not sync,
// because a restart writes the file again.
func (w *Watcher) replaceStatusFile(text []byte) error {
	path := w.cfg.Path + statusSuffix
	if err := os.WriteFile(path+newSuffix, text, configMode); err != nil {
		return err
	}
	return os.Rename(path+newSuffix, path)
}
