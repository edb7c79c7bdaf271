package wal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// FS is what the package needs of a file system. Tests replace it by one that
// tears writes and forgets what was not synced.
type FS interface {
	MkdirAll(dir string) error
	// ReadDir returns the names of the files in dir, sorted.
	ReadDir(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create opens an empty file for writing; Append one with its content.
	Create(name string) (File, error)
	Append(name string) (File, error)
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals in dir last.
	SyncDir(dir string) error
	// Lock takes the folder for this process until it is closed.
	Lock(dir string) (io.Closer, error)
}

// File is an open file. What was written lasts once Sync returned nil.
type File interface {
	io.WriteCloser
	Sync() error
}

// OS is the file system of the machine.
type OS struct{}

const (
	filePerm   = 0o600
	folderPerm = 0o700
)

// MkdirAll creates dir and makes that last.
func (OS) MkdirAll(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(dir, folderPerm); err != nil {
		return err
	}
	return OS{}.SyncDir(filepath.Dir(dir))
}

// ReadDir returns the names of the files in dir, sorted.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile returns the content of a file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create opens an empty file for writing.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePerm)
}

// Append opens a file for writing at its end.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_APPEND|os.O_WRONLY, filePerm)
}

// Truncate cuts a file.
func (OS) Truncate(name string, size int64) error { return os.Truncate(name, size) }

// Rename replaces to by from.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes creations, renames and removals in dir last.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

// Lock takes the folder for this process.
func (OS) Lock(dir string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, result.New(result.BadSetting, "another process uses the data folder: %v", err)
	}
	return f, nil
}

// replaceFile puts a file in place whole: after a crash the old or the new
// content is there.
func replaceFile(fs FS, dir, name string, data []byte) error {
	tmp := filepath.Join(dir, tmpPrefix+name)
	f, err := fs.Create(tmp)
	if err != nil {
		return err
	}
	if err := writeSynced(f, data); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := fs.Rename(tmp, filepath.Join(dir, name)); err != nil {
		return err
	}
	return fs.SyncDir(dir)
}

func writeSynced(f File, data []byte) error {
	if _, err := f.Write(data); err != nil {
		return err
	}
	return f.Sync()
}
