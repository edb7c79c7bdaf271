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
// names and skips all other files. It returns every file that it could read
// and one error for each file that it could not. If the folder can't be read or
// holds too many files, it returns no files and one error.
func Load(dir string) ([]File, []*result.Error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, []*result.Error{unreadableError(dir, err)}
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

// ReadFile reads one configuration file. It rejects symbolic links, folders,
// devices, files over the size limit, and files that are replaced during the
// read.
func ReadFile(path string) ([]byte, *result.Error) {
	pos := position{file: filepath.Base(path)}
	info, err := os.Lstat(path)
	if err != nil {
		return nil, unreadableError(path, err)
	}
	if !info.Mode().IsRegular() {
		return nil, pos.newError(result.FileNotRegular, "", "replace it by a regular file", "not a regular file but a %s", describeMode(info.Mode()))
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, unreadableError(path, err)
	}
	defer f.Close()
	opened, err := f.Stat()
	if err != nil || !os.SameFile(info, opened) {
		return nil, pos.newError(result.FileUnreadable, "", "save it again", "the file was replaced during the read")
	}
	content, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return nil, unreadableError(path, err)
	}
	if len(content) > MaxFileBytes {
		return nil, pos.newError(result.FileTooLarge, "", "split it into several files", "larger than the limit of %d bytes", MaxFileBytes)
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

func unreadableError(path string, err error) *result.Error {
	var pathErr *fs.PathError
	if errors.As(err, &pathErr) {
		err = pathErr.Err
	}
	return position{file: filepath.Base(path)}.newError(result.FileUnreadable, "",
		"check that it exists and its permissions", "%s", err.Error())
}
