package folder

import (
	"fmt"
	"os"
	"os/user"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

const (
	markerName = ".waxwingpost"
	// tempPrefix starts the names of files that a write-back is working on.
	tempPrefix = ".waxwingpost-"
)

// scan is what one look at the folder found.
type scan struct {
	files map[string]config.File
	// digests holds the digest of each file.
	digests map[string]manifest.Digest
	// problems holds the files that are there but can't be read.
	problems map[string]*result.Error
	// whole is set when the folder as a whole can't be taken.
	whole *result.Error
	// ignored lists names that do not belong to the configuration.
	ignored []string
	marker  marker
}

// marker tells that a folder is the one that this VM wrote last, and to which
// revision. It shows an unmounted folder and one restored from a backup.
type marker struct {
	folder   string
	revision uint64
}

func readMarker(dir string) marker {
	data, err := os.ReadFile(filepath.Join(dir, markerName))
	if err != nil {
		return marker{}
	}
	var m marker
	if _, err := fmt.Sscanf(string(data), "%s %d", &m.folder, &m.revision); err != nil {
		return marker{}
	}
	return m
}

func look(dir string) *scan {
	s := &scan{
		files:    make(map[string]config.File),
		digests:  make(map[string]manifest.Digest),
		problems: make(map[string]*result.Error),
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		s.whole = result.New(result.FolderSuspicious, "the folder can't be read: %s", err.Error())
		return s
	}
	files, problems := config.Load(dir)
	for _, f := range files {
		s.files[f.Name] = f
		s.digests[f.Name] = manifest.Sum(f.Content)
	}
	for _, p := range problems {
		if p.Code == result.TooManyFiles {
			s.whole = p
			continue
		}
		s.problems[p.File] = p
	}
	s.marker = readMarker(dir)
	s.ignored = ignoredNames(entries)
	return s
}

func ignoredNames(entries []os.DirEntry) []string {
	var names []string
	for _, e := range entries {
		if !config.IsConfigName(e.Name()) && !strings.HasPrefix(e.Name(), markerName) {
			names = append(names, e.Name())
		}
	}
	return names
}

// has reports whether a file of this name stands in the folder, readable or
// not.
func (s *scan) has(name string) bool {
	_, readable := s.files[name]
	_, unreadable := s.problems[name]
	return readable || unreadable
}

// empty reports whether the folder holds nothing of the configuration.
func (s *scan) empty() bool {
	return len(s.files) == 0 && len(s.problems) == 0
}

// settling notes since when each file has had its present content.
type settling struct {
	digest manifest.Digest
	since  time.Time
}

// settled reports whether name has had its content, or its absence, for the
// settle time.
func (w *Watcher) settled(name string, digest manifest.Digest) bool {
	now := w.clock.Now()
	s, ok := w.settling[name]
	if !ok || s.digest != digest {
		w.settling[name] = settling{digest: digest, since: now}
		w.wake(w.cfg.Settle)
		return w.cfg.Settle <= 0
	}
	if wait := w.cfg.Settle - now.Sub(s.since); wait > 0 {
		w.wake(wait)
		return false
	}
	return true
}

// authorOf names the owner of a file as the author of its content.
func authorOf(path string) string {
	info, err := os.Lstat(path)
	if err != nil {
		return ""
	}
	stat, ok := info.Sys().(*syscall.Stat_t)
	if !ok {
		return ""
	}
	uid := strconv.FormatUint(uint64(stat.Uid), 10)
	if u, err := user.LookupId(uid); err == nil {
		return u.Username
	}
	return "uid " + uid
}
