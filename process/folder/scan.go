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
	// tempPrefix is the name prefix of temporary files of a write-back.
	tempPrefix = ".waxwingpost-"
)

// scan is the result of reading the folder once.
type scan struct {
	files map[string]config.File
	// digests holds the digest of each file.
	digests map[string]manifest.Digest
	// problems holds the errors of files that exist but can't be read.
	problems map[string]*result.Error
	// folderProblem is set if the folder as a whole can't be used.
	folderProblem *result.Error
	// ignored lists the names that are not configuration files.
	ignored []string
	marker  marker
}

// marker identifies the folder that this VM wrote and the revision it wrote
// last. It detects an unmounted folder and one restored from an old backup.
type marker struct {
	folderID string
	revision uint64
}

// readMarker reads the folder's marker. The result is zero if it is missing or
// malformed.
func readMarker(dir string) marker {
	data, err := os.ReadFile(filepath.Join(dir, markerName))
	if err != nil {
		return marker{}
	}
	var m marker
	if _, err := fmt.Sscanf(string(data), "%s %d", &m.folderID, &m.revision); err != nil {
		return marker{}
	}
	return m
}

// scanFolder reads the configuration files and the marker of a folder.
func scanFolder(dir string) *scan {
	s := &scan{
		files:    make(map[string]config.File),
		digests:  make(map[string]manifest.Digest),
		problems: make(map[string]*result.Error),
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		s.folderProblem = result.New(result.FolderSuspicious, "failed to read the folder: %s", err.Error())
		return s
	}
	files, problems := config.Load(dir)
	for _, f := range files {
		s.files[f.Name] = f
		s.digests[f.Name] = manifest.Sum(f.Content)
	}
	for _, p := range problems {
		if p.Code == result.TooManyFiles {
			s.folderProblem = p
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

// contains reports whether the folder has a file of this name, readable or not.
func (s *scan) contains(name string) bool {
	_, readable := s.files[name]
	_, unreadable := s.problems[name]
	return readable || unreadable
}

// empty reports whether the folder has no configuration files.
func (s *scan) empty() bool {
	return len(s.files) == 0 && len(s.problems) == 0
}

// observation records since when a file has had its current content.
type observation struct {
	digest manifest.Digest
	since  time.Time
}

// isStable reports whether a file has had this content for the settle time. The
// zero digest means that the file does not exist.
func (w *Watcher) isStable(name string, digest manifest.Digest) bool {
	now := w.clock.Now()
	s, ok := w.observed[name]
	if !ok || s.digest != digest {
		w.observed[name] = observation{digest: digest, since: now}
		w.scheduleWithin(w.cfg.SettleTime)
		return w.cfg.SettleTime <= 0
	}
	if wait := w.cfg.SettleTime - now.Sub(s.since); wait > 0 {
		w.scheduleWithin(wait)
		return false
	}
	return true
}

// ownerOf returns the user name of a file's owner, who counts as the author of
// its content.
func ownerOf(path string) string {
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
