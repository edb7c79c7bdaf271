// Package faultdisk is a file system in memory for tests. A crash forgets what
// was not synced: bytes of files, and creations, renames and removals in the
// folder. It tears the last writes as disks do. Not safe for concurrent use.
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

// ErrCrashed is returned by every operation from the planned crash on.
var ErrCrashed = errors.New("faultdisk: crashed")

// inode is a file's content as it is seen and as it is on the disk.
type inode struct {
	data   []byte
	synced []byte
}

// Disk is a wal.FS. The zero value is not usable; see New.
type Disk struct {
	rnd *rand.Rand
	// live is the folder as it is seen, durable as it is on the disk.
	live    map[string]*inode
	durable map[string]*inode
	// changes are the folders' states between durable and live, in order.
	changes []map[string]*inode
	// left counts the operations before the planned crash; negative for none.
	left    int
	crashed bool
	// Ops counts the operations that change something.
	Ops int
	// LoseSyncs makes Sync and SyncDir do nothing, to see tests fail.
	LoseSyncs bool
}

var _ wal.FS = (*Disk)(nil)

// New returns an empty disk that tears by rnd.
func New(rnd *rand.Rand) *Disk {
	return &Disk{rnd: rnd, live: map[string]*inode{}, durable: map[string]*inode{}, left: -1}
}

// CrashAfter plans a crash in the operation that follows n more ones.
func (d *Disk) CrashAfter(n int) { d.left = n }

// Recover ends a planned crash as if the disk had failed for a moment only.
func (d *Disk) Recover() { d.left, d.crashed = -1, false }

// Crashed reports whether the planned crash came.
func (d *Disk) Crashed() bool { return d.crashed }

// Restart is what a machine finds after a crash: all that was synced, and some
// of what was not.
func (d *Disk) Restart() {
	states := append([]map[string]*inode{d.durable}, d.changes...)
	d.durable = states[d.rnd.IntN(len(states))]
	d.live = maps.Clone(d.durable)
	d.changes = nil
	for _, name := range d.names() {
		f := d.live[name]
		f.data = d.tear(f)
		f.synced = slices.Clone(f.data)
	}
	d.left, d.crashed = -1, false
}

func (d *Disk) names() []string {
	return slices.Sorted(maps.Keys(d.live))
}

// tear returns what a crash leaves of a file: the synced part and either a
// part of what was appended or all of it with some sectors unwritten.
func (d *Disk) tear(f *inode) []byte {
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

// step counts an operation and crashes in it where that is planned.
func (d *Disk) step() error {
	if d.crashed {
		return ErrCrashed
	}
	if d.left == 0 {
		d.crashed = true
		return ErrCrashed
	}
	if d.left > 0 {
		d.left--
	}
	d.Ops++
	return nil
}

// changed notes a new state of the folder.
func (d *Disk) changed() { d.changes = append(d.changes, maps.Clone(d.live)) }

// MkdirAll does nothing: the disk has no folders.
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

// Flip inverts one bit of a file, on the disk too.
func (d *Disk) Flip(name string, bit int) {
	f := d.live[name]
	f.data[bit/8] ^= 1 << (bit % 8)
	f.synced = slices.Clone(f.data)
}

// Write replaces a file, on the disk too.
func (d *Disk) Write(name string, data []byte) {
	f := &inode{data: slices.Clone(data), synced: slices.Clone(data)}
	d.live[name], d.durable[name] = f, f
}

// Find returns the names of the files whose base name has a prefix.
func (d *Disk) Find(prefix string) []string {
	var found []string
	for _, name := range d.names() {
		if strings.HasPrefix(filepath.Base(name), prefix) {
			found = append(found, name)
		}
	}
	return found
}

// Create opens an empty file for writing.
func (d *Disk) Create(name string) (wal.File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	f := &inode{}
	d.live[name] = f
	d.changed()
	return &file{disk: d, inode: f}, nil
}

// Append opens a file for writing at its end.
func (d *Disk) Append(name string) (wal.File, error) {
	if d.crashed {
		return nil, ErrCrashed
	}
	f, ok := d.live[name]
	if !ok {
		return nil, errors.Wrap(fs.ErrNotExist, name)
	}
	return &file{disk: d, inode: f}, nil
}

// Truncate cuts a file.
func (d *Disk) Truncate(name string, size int64) error {
	if err := d.step(); err != nil {
		return err
	}
	d.live[name].data = d.live[name].data[:size:size]
	return nil
}

// Rename replaces to by from.
func (d *Disk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.live[to] = d.live[from]
	delete(d.live, from)
	d.changed()
	return nil
}

// Remove deletes a file.
func (d *Disk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.live, name)
	d.changed()
	return nil
}

// SyncDir makes creations, renames and removals last.
func (d *Disk) SyncDir(string) error {
	if err := d.step(); err != nil {
		return err
	}
	if !d.LoseSyncs {
		d.durable = maps.Clone(d.live)
		d.changes = nil
	}
	return nil
}

// Lock does nothing.
func (d *Disk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// file is an open file.
type file struct {
	disk  *Disk
	inode *inode
}

// Write appends. A crash in it leaves a part of p in the cache of the machine.
func (f *file) Write(p []byte) (int, error) {
	alive := !f.disk.crashed
	if err := f.disk.step(); err != nil {
		if alive {
			f.inode.data = append(f.inode.data, p...)
		}
		return 0, err
	}
	f.inode.data = append(f.inode.data, p...)
	return len(p), nil
}

// Sync makes the content last.
func (f *file) Sync() error {
	if err := f.disk.step(); err != nil {
		return err
	}
	if !f.disk.LoseSyncs {
		f.inode.synced = slices.Clone(f.inode.data)
	}
	return nil
}

// Close does nothing: what was not synced stays so.
func (f *file) Close() error { return nil }
