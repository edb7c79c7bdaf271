package config

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// Load reads the configuration files of a folder in the byte order of their
// names. Names that do not belong to the configuration are passed over. It
// returns every file that it could read and every problem with the rest.
func Load(dir string) ([]File, []*result.Error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, []*result.Error{unreadable(dir, err)}
	}
	var files []File
	var problems []*result.Error
	names := configNames(entries)
	if len(names) > MaxFiles {
		e := result.New(result.TooManyFiles, "%s holds %d files; the limit is %d", dir, len(names), MaxFiles)
		e.Remedy = "merge some files"
		return nil, []*result.Error{e}
	}
	for _, name := range names {
		content, err := ReadFile(filepath.Join(dir, name))
		if err != nil {
			problems = append(problems, err)
			continue
		}
		files = append(files, File{Name: name, Content: content})
	}
	return files, problems
}

func configNames(entries []fs.DirEntry) []string {
	var names []string
	for _, e := range entries {
		if IsConfigName(e.Name()) {
			names = append(names, e.Name())
		}
	}
	return names
}

// ReadFile reads one configuration file. A symlink, folder or device and a
// file over the size limit are refused without being read.
func ReadFile(path string) ([]byte, *result.Error) {
	at := place{file: filepath.Base(path)}
	info, err := os.Lstat(path)
	if err != nil {
		return nil, unreadable(path, err)
	}
	if !info.Mode().IsRegular() {
		return nil, at.refuse(result.FileNotRegular, "", "replace it by a regular file", "it is a %s", describeMode(info.Mode()))
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, unreadable(path, err)
	}
	defer f.Close()
	opened, err := f.Stat()
	if err != nil || !os.SameFile(info, opened) {
		return nil, at.refuse(result.FileUnreadable, "", "write it again", "the file was replaced while it was read")
	}
	content, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return nil, unreadable(path, err)
	}
	if len(content) > MaxFileBytes {
		return nil, at.refuse(result.FileTooLarge, "", "split it into several files", "more than %d bytes", MaxFileBytes)
	}
	return content, nil
}

func describeMode(mode fs.FileMode) string {
	switch {
	case mode.IsDir():
		return "folder"
	case mode&fs.ModeSymlink != 0:
		return "symbolic link"
	default:
		return "device, pipe or socket"
	}
}

func unreadable(path string, err error) *result.Error {
	var pathErr *fs.PathError
	if errors.As(err, &pathErr) {
		err = pathErr.Err
	}
	return place{file: filepath.Base(path)}.refuse(result.FileUnreadable, "",
		"check that it exists and its permissions", "%s", err.Error())
}
