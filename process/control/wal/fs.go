package wal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// FS is the file system used by this package. Tests use an implementation that
// tears writes and loses unsynced data.
type FS interface {
	MkdirAll(dir string) error
	// ReadDir returns the names of the files in dir, sorted.
	ReadDir(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates or truncates a file for writing; Append opens an existing
	// file for writing at its end.
	Create(name string) (File, error)
	Append(name string) (File, error)
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals in dir durable.
	SyncDir(dir string) error
	// Lock locks the folder for this process until the result is closed.
	Lock(dir string) (io.Closer, error)
}

// File is an open file. Written data is durable once Sync has returned nil.
type File interface {
	io.WriteCloser
	Sync() error
}

// OS is the operating system's file system.
type OS struct{}

const (
	filePerm   = 0o600
	folderPerm = 0o700
)

// MkdirAll creates dir and syncs its parent folder.
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

// Create creates or truncates a file for writing.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePerm)
}

// Append opens an existing file for writing at its end.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_APPEND|os.O_WRONLY, filePerm)
}

// Truncate shortens a file to size bytes.
func (OS) Truncate(name string, size int64) error { return os.Truncate(name, size) }

// Rename renames a file, replacing an existing one.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes creations, renames and removals in dir durable.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

// Lock locks the folder for this process until the result is closed.
func (OS) Lock(dir string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, result.New(result.BadSetting, "data folder is locked by another process: %v", err)
	}
	return f, nil
}

// replaceFile replaces a file atomically: after a crash it has either the old or
// the new content.
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
