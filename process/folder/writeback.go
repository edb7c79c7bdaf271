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

// Suffixes of paths beside the folder: the status file, the folder of kept
// copies, and the temporary file that replaces the status file.
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

// errConcurrentSave means that an operator saved the file while the watcher
// replaced it.
var errConcurrentSave = errors.New("the file was saved concurrently")

// fileWrite is a file to be written to the folder or removed from it.
type fileWrite struct {
	name string
	// digest is the digest of content; zero is a removal.
	digest  manifest.Digest
	content []byte
}

// writeBack writes accepted files that differ from the folder and removes files
// that are no longer accepted. It skips files with an undecided or refused edit.
func (w *Watcher) writeBack(s *scan, accepted map[string]state.File, revision uint64) {
	writes, complete := w.planWrites(s, accepted)
	if len(writes) == 0 && (revision == w.saved.Revision || !complete) {
		return
	}
	for _, wr := range writes {
		w.saved.PendingWrites[wr.name] = wr.digest
	}
	if len(writes) > 0 && !w.save() {
		return
	}
	for _, wr := range writes {
		if err := w.replaceFile(wr, s.digests[wr.name]); err != nil {
			complete = false
			w.scheduleWithin(w.cfg.RetryInterval)
			w.log.Info("failed to write accepted file, will retry", "event", "folder-write", "file", wr.name, "error", err.Error())
			continue
		}
		w.recordWrite(wr)
	}
	clear(w.saved.PendingWrites)
	if err := syncDir(w.cfg.Path); err != nil || !complete {
		w.save()
		return
	}
	if w.writeMarker(revision) {
		w.saved.Revision = revision
		w.save()
	}
}

// recordWrite updates the saved digests after a write.
func (w *Watcher) recordWrite(wr fileWrite) {
	if wr.digest.IsZero() {
		delete(w.saved.Files, wr.name)
		return
	}
	w.saved.Files[wr.name] = wr.digest
}

// planWrites returns the files to write. It also reports whether every file
// without a local edit holds the accepted content after these writes.
func (w *Watcher) planWrites(s *scan, accepted map[string]state.File) ([]fileWrite, bool) {
	var writes []fileWrite
	complete := true
	for name, f := range accepted {
		if w.saved.Files[name] == f.Digest {
			continue
		}
		if w.hasLocalEdit(name, s) {
			continue
		}
		if _, ok := s.problems[name]; ok {
			complete = false
			continue
		}
		writes = append(writes, fileWrite{name: name, digest: f.Digest, content: f.Content})
	}
	for name := range w.saved.Files {
		if _, ok := accepted[name]; !ok && !w.hasLocalEdit(name, s) {
			writes = append(writes, fileWrite{name: name})
		}
	}
	return writes, complete
}

// hasLocalEdit reports whether a file in the folder differs from the accepted
// content that the watcher last saw or wrote there.
func (w *Watcher) hasLocalEdit(name string, s *scan) bool {
	known, ok := w.saved.Files[name]
	digest, present := s.digests[name]
	if present {
		return digest != known
	}
	_, unreadable := s.problems[name]
	return ok && !unreadable
}

// replaceFile replaces or removes one file without overwriting a concurrent save
// by an operator. It renames the old file first, restores it if its content is
// not the expected one, and gives the new file the name only if the name is
// still free.
func (w *Watcher) replaceFile(wr fileWrite, expected manifest.Digest) error {
	path := filepath.Join(w.cfg.Path, wr.name)
	oldPath := filepath.Join(w.cfg.Path, oldPrefix+wr.name)
	newPath := filepath.Join(w.cfg.Path, newPrefix+wr.name)
	if !wr.digest.IsZero() {
		if err := writeSynced(newPath, wr.content); err != nil {
			return err
		}
		defer os.Remove(newPath)
	}
	if err := os.Rename(path, oldPath); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	} else if err == nil {
		if err := w.verifyOld(path, oldPath, expected); err != nil {
			return err
		}
		defer w.discardOld(wr.name, oldPath, expected)
	}
	if wr.digest.IsZero() {
		return nil
	}
	copyOwnership(newPath, oldPath)
	return linkOrRename(newPath, path)
}

// copyOwnership gives the new file the mode of the old one and, if the process
// is permitted to, its owner and group.
func copyOwnership(newPath, oldPath string) {
	info, err := os.Lstat(oldPath)
	if err != nil {
		return
	}
	_ = os.Chmod(newPath, info.Mode().Perm())
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		_ = os.Lchown(newPath, int(stat.Uid), int(stat.Gid))
	}
}

// verifyOld checks that the renamed file has the expected content. If not, it
// restores the file and returns errConcurrentSave.
func (w *Watcher) verifyOld(path, oldPath string, expected manifest.Digest) error {
	if digest, _, err := readWithDigest(oldPath); err == nil && digest == expected {
		return nil
	}
	if err := linkOrRename(oldPath, path); err != nil && !errors.Is(err, errConcurrentSave) {
		return err
	}
	_ = os.Remove(oldPath)
	return errConcurrentSave
}

// discardOld removes the renamed file. If a program that still had it open has
// written to it, a copy of its content is kept first.
func (w *Watcher) discardOld(name, oldPath string, expected manifest.Digest) {
	if digest, content, err := readWithDigest(oldPath); err == nil && digest != expected {
		if _, err := w.keepCopy(name, content, digest); err != nil {
			return
		}
	}
	_ = os.Remove(oldPath)
}

func readWithDigest(path string) (manifest.Digest, []byte, error) {
	content, problem := config.ReadFile(path)
	if problem != nil {
		return manifest.Digest{}, nil, problem
	}
	return manifest.Sum(content), content, nil
}

// linkOrRename links a file to a second name and returns errConcurrentSave if
// that name is taken. If the file system does not support links, it renames the
// file.
func linkOrRename(from, to string) error {
	err := os.Link(from, to)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, fs.ErrExist):
		return errConcurrentSave
	}
	if _, statErr := os.Lstat(to); statErr == nil {
		return errConcurrentSave
	}
	return os.Rename(from, to)
}

// writeSynced writes a file and syncs it.
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

// writeMarker writes the marker file that identifies the folder and its revision.
func (w *Watcher) writeMarker(revision uint64) bool {
	text := fmt.Sprintf("%s %d\n", w.saved.FolderID, revision)
	err := renameio.WriteFile(filepath.Join(w.cfg.Path, markerName), []byte(text), configMode)
	if err == nil {
		err = syncDir(w.cfg.Path)
	}
	if err != nil {
		w.log.Error("failed to write folder marker", "event", "folder-marker", "code", int(result.DiskFailed), "error", err.Error())
	}
	return err == nil
}

// keepCopy saves an operator's content beside the folder and returns its path.
func (w *Watcher) keepCopy(name string, content []byte, digest manifest.Digest) (string, error) {
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

// recoverWriteBack updates the saved state after a crash during a write-back.
func (w *Watcher) recoverWriteBack() {
	w.recoverTempFiles()
	if len(w.saved.PendingWrites) == 0 {
		return
	}
	s := scanFolder(w.cfg.Path)
	if s.folderProblem != nil || s.marker.folderID != w.saved.FolderID {
		return
	}
	for name, want := range w.saved.PendingWrites {
		digest, present := s.digests[name]
		switch {
		case present && digest == want:
			w.saved.Files[name] = want
		case !s.contains(name):
			delete(w.saved.Files, name)
		}
	}
	clear(w.saved.PendingWrites)
	w.save()
}

// recoverTempFiles removes temporary files of an interrupted write-back. It keeps
// copies of content that an operator wrote.
func (w *Watcher) recoverTempFiles() {
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
		digest, content, err := readWithDigest(path)
		if err == nil && digest != w.saved.Files[name] && digest != w.saved.PendingWrites[name] {
			if _, err := w.keepCopy(name, content, digest); err != nil {
				continue
			}
		}
		_ = os.Remove(path)
	}
}

// restoreFolder writes the accepted files to a folder that checkFolder has
// rejected for RestoreDelay. It keeps copies of all other content beside the
// folder.
func (w *Watcher) restoreFolder(s *scan, files []state.File, revision uint64) {
	now := w.clock.Now()
	if w.suspiciousSince.IsZero() {
		w.suspiciousSince = now
	}
	wait := w.cfg.RestoreDelay - now.Sub(w.suspiciousSince)
	if s.folderProblem != nil || wait > 0 {
		w.scheduleWithin(max(wait, w.cfg.RetryInterval))
		return
	}
	accepted := indexByName(files)
	found := make(map[string]manifest.Digest, len(s.digests))
	for name, digest := range s.digests {
		found[name] = digest
		if digest == w.saved.Files[name] || digest == accepted[name].Digest {
			continue
		}
		if _, err := w.keepCopy(name, s.files[name].Content, digest); err != nil {
			w.log.Error("failed to keep a copy of a file", "event", "folder-keep", "file", name, "error", err.Error())
			return
		}
	}
	w.log.Warn("restoring accepted files", "event", "folder-restored", "revision", revision)
	w.saved.Files = found
	clear(w.saved.PendingEdits)
	if !w.save() || !w.writeMarker(w.saved.Revision) {
		return
	}
	w.writeBack(s, accepted, revision)
	w.suspiciousSince = now
}
