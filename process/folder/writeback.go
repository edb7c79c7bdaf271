package folder

import (
	"encoding/hex"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/google/renameio/v2"

	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/control/state"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Suffixes of what stands beside the folder.
const (
	statusSuffix = ".status.yaml"
	keptSuffix   = ".refused"
	newSuffix    = ".new"
)

const (
	oldPrefix = tempPrefix + "old-"
	newPrefix = tempPrefix + "new-"

	configMode = 0o644
	keptMode   = 0o755
)

// errBusy tells that an operator saved the file while it was being replaced.
var errBusy = errors.New("the file was saved meanwhile")

// write is one file that is to be placed in the folder or removed from it.
type write struct {
	name string
	// want is the digest of content; zero stands for a removal.
	want    manifest.Digest
	content []byte
}

// writeBack places the accepted files that the folder lacks. A file that
// holds an edit without a verdict, or a refused one, is left alone.
func (w *Watcher) writeBack(s *scan, inForce map[string]state.File, revision uint64) {
	writes, all := w.writes(s, inForce)
	if len(writes) == 0 && (revision == w.memory.Revision || !all) {
		return
	}
	for _, wr := range writes {
		w.memory.Writing[wr.name] = wr.want
	}
	if len(writes) > 0 && !w.save() {
		return
	}
	for _, wr := range writes {
		if err := w.place(wr, s.digests[wr.name]); err != nil {
			all = false
			w.wake(w.cfg.RetryEvery)
			w.log.Info("an accepted file was not placed yet", "event", "folder-write", "file", wr.name, "error", err.Error())
			continue
		}
		w.placed(wr)
	}
	clear(w.memory.Writing)
	if err := syncDir(w.cfg.Path); err != nil || !all {
		w.save()
		return
	}
	if w.writeMarker(revision) {
		w.memory.Revision = revision
		w.save()
	}
}

func (w *Watcher) placed(wr write) {
	if wr.want.IsZero() {
		delete(w.memory.Files, wr.name)
		return
	}
	w.memory.Files[wr.name] = wr.want
}

// writes lists what is to be written, and whether that brings every file in
// step that holds no edit.
func (w *Watcher) writes(s *scan, inForce map[string]state.File) ([]write, bool) {
	var writes []write
	all := true
	for name, f := range inForce {
		if w.memory.Files[name] == f.Digest {
			continue
		}
		if w.holdsEdit(name, s) {
			continue
		}
		if _, ok := s.problems[name]; ok {
			all = false
			continue
		}
		writes = append(writes, write{name: name, want: f.Digest, content: f.Content})
	}
	for name := range w.memory.Files {
		if _, ok := inForce[name]; !ok && !w.holdsEdit(name, s) {
			writes = append(writes, write{name: name})
		}
	}
	return writes, all
}

// holdsEdit reports whether the file differs from what the VM knows it to be.
func (w *Watcher) holdsEdit(name string, s *scan) bool {
	known, ok := w.memory.Files[name]
	digest, present := s.digests[name]
	if present {
		return digest != known
	}
	_, unreadable := s.problems[name]
	return ok && !unreadable
}

// place replaces or removes one file. It first moves the old file out of the
// way, so that a save by an operator in between is never overwritten: the old
// file is put back when it holds something else than expected, and the new
// one takes the name only if no other file did.
func (w *Watcher) place(wr write, expected manifest.Digest) error {
	path := filepath.Join(w.cfg.Path, wr.name)
	old := filepath.Join(w.cfg.Path, oldPrefix+wr.name)
	fresh := filepath.Join(w.cfg.Path, newPrefix+wr.name)
	if !wr.want.IsZero() {
		if err := writeSynced(fresh, wr.content); err != nil {
			return err
		}
		defer os.Remove(fresh)
	}
	if err := os.Rename(path, old); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	} else if err == nil {
		if err := w.checkOld(path, old, expected); err != nil {
			return err
		}
		defer w.discard(wr.name, old, expected)
	}
	if wr.want.IsZero() {
		return nil
	}
	takeOwner(fresh, old)
	return linkOrRename(fresh, path)
}

// takeOwner gives a new file the mode and, where the process may do so, the
// owner of the one that it replaces.
func takeOwner(fresh, old string) {
	info, err := os.Lstat(old)
	if err != nil {
		return
	}
	_ = os.Chmod(fresh, info.Mode().Perm())
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		_ = os.Lchown(fresh, int(stat.Uid), int(stat.Gid))
	}
}

// checkOld puts an unexpected file back under its name.
func (w *Watcher) checkOld(path, old string, expected manifest.Digest) error {
	if digest, _, err := digestOf(old); err == nil && digest == expected {
		return nil
	}
	if err := linkOrRename(old, path); err != nil && !errors.Is(err, errBusy) {
		return err
	}
	_ = os.Remove(old)
	return errBusy
}

// discard removes the old file, unless a program that had it open has written
// to it since.
func (w *Watcher) discard(name, old string, expected manifest.Digest) {
	if digest, content, err := digestOf(old); err == nil && digest != expected {
		if _, err := w.keep(name, content, digest); err != nil {
			return
		}
	}
	_ = os.Remove(old)
}

func digestOf(path string) (manifest.Digest, []byte, error) {
	content, problem := config.ReadFile(path)
	if problem != nil {
		return manifest.Digest{}, nil, problem
	}
	return manifest.Sum(content), content, nil
}

// linkOrRename gives a file a second name that must be free. Where the file
// system has no links the file is renamed.
func linkOrRename(from, to string) error {
	err := os.Link(from, to)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, fs.ErrExist):
		return errBusy
	}
	if _, statErr := os.Lstat(to); statErr == nil {
		return errBusy
	}
	return os.Rename(from, to)
}

func writeSynced(path string, content []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, configMode)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (w *Watcher) writeMarker(revision uint64) bool {
	text := fmt.Sprintf("%s %d\n", w.memory.Folder, revision)
	err := renameio.WriteFile(filepath.Join(w.cfg.Path, markerName), []byte(text), configMode)
	if err == nil {
		err = syncDir(w.cfg.Path)
	}
	if err != nil {
		w.log.Error("the folder's marker was not written", "event", "folder-marker", "code", int(result.DiskFailed), "error", err.Error())
	}
	return err == nil
}

// keep saves an operator's content beside the folder and returns its path.
func (w *Watcher) keep(name string, content []byte, digest manifest.Digest) (string, error) {
	dir := w.cfg.Path + keptSuffix
	if err := os.MkdirAll(dir, keptMode); err != nil {
		return "", err
	}
	path := filepath.Join(dir, name+"."+hex.EncodeToString(digest[:4]))
	if err := renameio.WriteFile(path, content, configMode); err != nil {
		return "", err
	}
	return path, syncDir(dir)
}

// recover ends a write-back that a crash interrupted.
func (w *Watcher) recover() {
	w.recoverTemporary()
	if len(w.memory.Writing) == 0 {
		return
	}
	s := look(w.cfg.Path)
	if s.whole != nil || s.marker.folder != w.memory.Folder {
		return
	}
	for name, want := range w.memory.Writing {
		digest, present := s.digests[name]
		switch {
		case present && digest == want:
			w.memory.Files[name] = want
		case !s.has(name):
			delete(w.memory.Files, name)
		}
	}
	clear(w.memory.Writing)
	w.save()
}

// recoverTemporary removes temporary files; what an operator wrote is kept.
func (w *Watcher) recoverTemporary() {
	entries, err := os.ReadDir(w.cfg.Path)
	if err != nil {
		return
	}
	for _, e := range entries {
		path := filepath.Join(w.cfg.Path, e.Name())
		if strings.HasPrefix(e.Name(), newPrefix) {
			_ = os.Remove(path)
		}
		name, ok := strings.CutPrefix(e.Name(), oldPrefix)
		if !ok {
			continue
		}
		digest, content, err := digestOf(path)
		if err == nil && digest != w.memory.Files[name] && digest != w.memory.Writing[name] {
			if _, err := w.keep(name, content, digest); err != nil {
				continue
			}
		}
		_ = os.Remove(path)
	}
}

// restore places the accepted files again in a folder that has been empty or
// foreign for a while. Files that hold anything else are kept beside it.
func (w *Watcher) restore(s *scan, files []state.File, revision uint64) {
	now := w.clock.Now()
	if w.suspicious.IsZero() {
		w.suspicious = now
	}
	wait := w.cfg.RestoreAfter - now.Sub(w.suspicious)
	if s.whole != nil || wait > 0 {
		w.wake(max(wait, w.cfg.RetryEvery))
		return
	}
	inForce := accepted(files)
	found := make(map[string]manifest.Digest, len(s.digests))
	for name, digest := range s.digests {
		found[name] = digest
		if digest == w.memory.Files[name] || digest == inForce[name].Digest {
			continue
		}
		if _, err := w.keep(name, s.files[name].Content, digest); err != nil {
			w.log.Error("a file could not be kept", "event", "folder-keep", "file", name, "error", err.Error())
			return
		}
	}
	w.log.Warn("the accepted files are placed again", "event", "folder-restored", "revision", revision)
	w.memory.Files = found
	clear(w.memory.Pins)
	if !w.save() || !w.writeMarker(w.memory.Revision) {
		return
	}
	w.writeBack(s, inForce, revision)
	w.suspicious = now
}
