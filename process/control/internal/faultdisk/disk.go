// Package faultdisk is an in-memory file system with fault injection for tests.
// A crash may lose anything that was not synced: written bytes, and creations,
// renames and removals in the folder. It tears unsynced writes like real disks.
// It is not safe for concurrent use.
package faultdisk

import (
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/process/control/wal"
)

const sectorBytes = 512

// ErrCrashed is returned by all operations from the planned crash on.
var ErrCrashed = errors.New("faultdisk: crashed")

// ErrFull is returned by operations that need room on a full disk.
var ErrFull = errors.New("faultdisk: no space left")

// inode is the content of a file: data as seen by readers, synced as on disk.
type inode struct {
	data   []byte
	synced []byte
}

// Disk implements wal.FS. The zero value is not usable; see New.
type Disk struct {
	rnd *rand.Rand
	// live is the folder as seen by readers, durable the folder on disk.
	live    map[string]*inode
	durable map[string]*inode
	// unsyncedStates are the states of the folder after durable, in order. A
	// crash may leave any of them.
	unsyncedStates []map[string]*inode
	// opsUntilCrash is the number of operations before the planned crash, or
	// negative if none is planned.
	opsUntilCrash int
	crashed       bool
	full          bool
	// Ops counts the operations that modify the disk.
	Ops int
	// IgnoreSyncs makes Sync and SyncDir do nothing, to check that tests then
	// fail.
	IgnoreSyncs bool
}

var _ wal.FS = (*Disk)(nil)

// New returns an empty disk that uses rnd to choose which writes a crash loses.
func New(rnd *rand.Rand) *Disk {
	return &Disk{rnd: rnd, live: map[string]*inode{}, durable: map[string]*inode{}, opsUntilCrash: -1}
}

// CrashAfter plans a crash: n more operations succeed and the next one crashes.
func (d *Disk) CrashAfter(n int) { d.opsUntilCrash = n }

// Recover ends a crash without losing data, like a transient disk failure.
func (d *Disk) Recover() { d.opsUntilCrash, d.crashed = -1, false }

// SetFull makes the disk refuse every write until it has room again. A write that it refuses may
// leave a part of its bytes.
func (d *Disk) SetFull(full bool) { d.full = full }

// Full reports whether the disk refuses writes.
func (d *Disk) Full() bool { return d.full }

// Crashed reports whether the planned crash has occurred.
func (d *Disk) Crashed() bool { return d.crashed }

// Restart leaves the disk in a state possible after a crash: everything that was
// synced and a random part of the rest.
func (d *Disk) Restart() {
	states := append([]map[string]*inode{d.durable}, d.unsyncedStates...)
	d.durable = states[d.rnd.IntN(len(states))]
	d.live = maps.Clone(d.durable)
	d.unsyncedStates = nil
	for _, name := range d.names() {
		f := d.live[name]
		f.data = d.tornContent(f)
		f.synced = slices.Clone(f.data)
	}
	d.opsUntilCrash, d.crashed = -1, false
}

func (d *Disk) names() []string {
	return slices.Sorted(maps.Keys(d.live))
}

// tornContent returns a file's content after a crash: the synced part and either
// a prefix of the unsynced rest, or all of the rest with some sectors zeroed. If
// the file was truncated, the truncation is either kept or lost.
func (d *Disk) tornContent(f *inode) []byte {
	if len(f.data) < len(f.synced) {
		if d.rnd.IntN(2) == 0 {
			return slices.Clone(f.data)
		}
		return slices.Clone(f.synced)
	}
	from := len(f.synced)
	if d.rnd.IntN(2) == 0 {
		return slices.Clone(f.data[:from+d.rnd.IntN(len(f.data)-from+1)])
	}
	torn := slices.Clone(f.data)
	for at := from; at < len(torn); {
		end := min((at/sectorBytes+1)*sectorBytes, len(torn))
		if d.rnd.IntN(3) == 0 {
			clear(torn[at:end])
		}
		at = end
	}
	return torn
}

// beginOp counts an operation and crashes if that is planned for it.
func (d *Disk) beginOp() error {
	if d.crashed {
		return ErrCrashed
	}
	if d.full {
		return ErrFull
	}
	if d.opsUntilCrash == 0 {
		d.crashed = true
		return ErrCrashed
	}
	if d.opsUntilCrash > 0 {
		d.opsUntilCrash--
	}
	d.Ops++
	return nil
}

// recordState records a new unsynced state of the folder.
func (d *Disk) recordState() { d.unsyncedStates = append(d.unsyncedStates, maps.Clone(d.live)) }

// MkdirAll does nothing, since the disk has no folders.
func (d *Disk) MkdirAll(string) error { return nil }

// ReadDir returns the names of the files in dir, sorted.
func (d *Disk) ReadDir(dir string) ([]string, error) {
	if d.crashed {
		return nil, ErrCrashed
	}
	var names []string
	for _, name := range d.names() {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	return names, nil
}

// ReadFile returns the content of a file.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	if d.crashed {
		return nil, ErrCrashed
	}
	f, ok := d.live[name]
	if !ok {
		return nil, errors.Wrap(fs.ErrNotExist, name)
	}
	return slices.Clone(f.data), nil
}

// FlipBit inverts one bit of a file, including its synced content.
func (d *Disk) FlipBit(name string, bit int) {
	f := d.live[name]
	f.data[bit/8] ^= 1 << (bit % 8)
	f.synced = slices.Clone(f.data)
}

// WriteDurable replaces a file, including its synced content.
func (d *Disk) WriteDurable(name string, data []byte) {
	f := &inode{data: slices.Clone(data), synced: slices.Clone(data)}
	d.live[name], d.durable[name] = f, f
}

// FindByPrefix returns the names of the files whose base name has the prefix.
func (d *Disk) FindByPrefix(prefix string) []string {
	var found []string
	for _, name := range d.names() {
		if strings.HasPrefix(filepath.Base(name), prefix) {
			found = append(found, name)
		}
	}
	return found
}

// Create creates or truncates a file for writing.
func (d *Disk) Create(name string) (wal.File, error) {
	if err := d.beginOp(); err != nil {
		return nil, err
	}
	f := &inode{}
	d.live[name] = f
	d.recordState()
	return &openFile{disk: d, inode: f}, nil
}

// Append opens an existing file for writing at its end.
func (d *Disk) Append(name string) (wal.File, error) {
	if d.crashed {
		return nil, ErrCrashed
	}
	f, ok := d.live[name]
	if !ok {
		return nil, errors.Wrap(fs.ErrNotExist, name)
	}
	return &openFile{disk: d, inode: f}, nil
}

// Truncate shortens a file to size bytes.
func (d *Disk) Truncate(name string, size int64) error {
	if err := d.beginOp(); err != nil {
		return err
	}
	d.live[name].data = d.live[name].data[:size:size]
	return nil
}

// Rename renames a file, replacing an existing one.
func (d *Disk) Rename(from, to string) error {
	if err := d.beginOp(); err != nil {
		return err
	}
	d.live[to] = d.live[from]
	delete(d.live, from)
	d.recordState()
	return nil
}

// Remove deletes a file.
func (d *Disk) Remove(name string) error {
	if err := d.beginOp(); err != nil {
		return err
	}
	delete(d.live, name)
	d.recordState()
	return nil
}

// SyncDir makes creations, renames and removals durable.
func (d *Disk) SyncDir(string) error {
	if err := d.beginOp(); err != nil {
		return err
	}
	if !d.IgnoreSyncs {
		d.durable = maps.Clone(d.live)
		d.unsyncedStates = nil
	}
	return nil
}

// Lock does nothing.
func (d *Disk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// openFile is an open file.
type openFile struct {
	disk  *Disk
	inode *inode
}

// Write appends p. If it crashes, p is part of the file's unsynced content, of
// which Restart keeps a random part.
func (f *openFile) Write(p []byte) (int, error) {
	if f.disk.full {
		n := f.disk.rnd.IntN(len(p) + 1)
		f.inode.data = append(f.inode.data, p[:n]...)
		return n, ErrFull
	}
	alive := !f.disk.crashed
	if err := f.disk.beginOp(); err != nil {
		if alive {
			f.inode.data = append(f.inode.data, p...)
		}
		return 0, err
	}
	f.inode.data = append(f.inode.data, p...)
	return len(p), nil
}

// Sync makes the content durable.
func (f *openFile) Sync() error {
	if err := f.disk.beginOp(); err != nil {
		return err
	}
	if !f.disk.IgnoreSyncs {
		f.inode.synced = slices.Clone(f.inode.data)
	}
	return nil
}

// Close does nothing. Unsynced data stays unsynced.
func (f *openFile) Close() error { return nil }
