package folder

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/waxwingpost/waxwingpost/process/control/state"
	"github.com/waxwingpost/waxwingpost/process/result"
)

// Status is the answer to operators: it stands in the file FOLDER.status.yaml
// beside the folder.
type Status struct {
	VM string `yaml:"vm" json:"vm"`
	// Revision is the accepted revision that is in force on this VM.
	Revision uint64 `yaml:"revision" json:"revision"`
	// InStep is the accepted revision that the folder holds.
	InStep uint64 `yaml:"folder_revision" json:"folder_revision"`
	// InQuorum tells whether this VM hears from the control quorum.
	InQuorum bool           `yaml:"in_quorum" json:"in_quorum"`
	Folder   Problem        `yaml:"folder" json:"folder"`
	Files    []FileStatus   `yaml:"files" json:"files"`
	Changes  []ChangeStatus `yaml:"changes" json:"changes"`
	Ignored  []string       `yaml:"ignored,omitempty" json:"ignored,omitempty"`
	Written  string         `yaml:"written" json:"written"`
}

// Problem tells what is wrong with the folder as a whole.
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

// ChangeStatus is the last verdict on a change that was made in this folder.
type ChangeStatus struct {
	File    string `yaml:"file" json:"file"`
	Verdict string `yaml:"verdict" json:"verdict"`
	// Digest is the digest of the change's content; empty for a removal.
	Digest   string `yaml:"digest,omitempty" json:"digest,omitempty"`
	Revision uint64 `yaml:"revision" json:"revision"`
	Code     int    `yaml:"code" json:"code"`
	Name     string `yaml:"name" json:"name"`
	Detail   string `yaml:"detail,omitempty" json:"detail,omitempty"`
	Kept     string `yaml:"kept,omitempty" json:"kept,omitempty"`
}

// Status returns the last status.
func (w *Watcher) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.status
}

// publish writes the status file when the status has changed.
func (w *Watcher) publish(s *scan, files []state.File, revision uint64, problem *result.Error) {
	st := Status{
		VM: w.cfg.VM, Revision: revision, InStep: w.memory.Revision, InQuorum: w.store.InQuorum(),
		Folder: Problem{Name: result.OK.Name()}, Files: []FileStatus{}, Changes: []ChangeStatus{}, Ignored: s.ignored,
	}
	if problem != nil {
		st.Folder = Problem{Code: int(problem.Code), Name: problem.Code.Name(), Detail: problem.Detail}
	}
	for _, f := range files {
		st.Files = append(st.Files, FileStatus{File: f.Name, Revision: f.Revision, Digest: f.Digest.String()})
	}
	for _, name := range sortedNames(w.memory.Notes) {
		st.Changes = append(st.Changes, changeStatus(name, w.memory.Notes[name]))
	}
	w.write(st)
}

func changeStatus(name string, n note) ChangeStatus {
	c := ChangeStatus{
		File: name, Verdict: n.Verdict, Revision: n.Revision, Code: n.Code,
		Name: result.Code(n.Code).Name(), Detail: n.Detail, Kept: n.Kept,
	}
	if !n.Digest.IsZero() {
		c.Digest = n.Digest.String()
	}
	return c
}

func (w *Watcher) write(st Status) {
	text, err := yaml.Marshal(st)
	if err != nil || string(text) == w.statusText {
		return
	}
	if problem := st.Folder; problem.Code != 0 && problem != w.Status().Folder {
		w.log.Warn("the folder is not read", "event", "folder-suspicious", "code", problem.Code, "detail", problem.Detail)
	}
	w.statusText = string(text)
	st.Written = w.clock.Now().UTC().Format(time.RFC3339Nano)
	if text, err = yaml.Marshal(st); err == nil {
		err = w.replaceStatus(text)
	}
	if err != nil {
		w.statusText = ""
		w.log.Error("the status file was not written", "event", "folder-status", "code", int(result.DiskFailed), "error", err.Error())
	}
	w.mu.Lock()
	w.status = st
	w.mu.Unlock()
}

// replaceStatus replaces the status file at once. It is not synced: a restart
// writes it anew.
func (w *Watcher) replaceStatus(text []byte) error {
	path := w.cfg.Path + statusSuffix
	if err := os.WriteFile(path+newSuffix, text, configMode); err != nil {
		return err
	}
	return os.Rename(path+newSuffix, path)
}
