// Package store keeps content-addressed chunks and assembled versions in a
// size-limited spool directory.
//
// A chunk is verified against its digest while it is written and appears under
// its name only when it is complete. No file found at a restart is trusted: each
// is verified again before its first use. For that reason files are not synced
// to disk: a file that a crash damages is detected and fetched again. An
// assembled version is verified chunk by chunk while it is written to a
// temporary file, then read back, verified again and renamed.
//
// Once a version is assembled, its chunks are read from the assembled file and
// the separate chunk files are removed, so that a version takes up its size only
// once.
//
// The mutex guards the tables only; file contents are read and written without
// it.
package store

import (
	"encoding/hex"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

const (
	chunkDir       = "chunks"
	versionDir     = "versions"
	tempDir        = "temp"
	dirMode        = 0o750
	copyBufferSize = 128 << 10
)

// Config holds the settings of a Store.
type Config struct {
	// Dir is the spool directory. Nothing else may use it.
	Dir string
	// MaxBytes limits the size of the spool. Zero means unlimited.
	MaxBytes int64
}

// location is where a chunk is stored: in a file of its own or in an assembled
// version.
type location struct {
	path     string
	offset   int64
	size     int64
	verified bool
}

// Store manages a spool directory. All methods are safe for concurrent use.
type Store struct {
	cfg Config

	mu sync.Mutex
	// chunks maps the digest of every chunk in the spool to its location.
	chunks map[manifest.Digest]location
	// versions holds the assembled versions by manifest digest. The value is
	// set if this process has verified the file.
	versions map[manifest.Digest]bool
	// used is the number of bytes on disk, including those reserved by writes
	// in progress.
	used int64
}

// Open creates the spool directory if needed and indexes the files that an
// earlier process left in it. Unfinished files are removed.
func Open(cfg Config) (*Store, error) {
	s := &Store{
		cfg:      cfg,
		chunks:   make(map[manifest.Digest]location),
		versions: make(map[manifest.Digest]bool),
	}
	if err := os.RemoveAll(s.dir(tempDir)); err != nil {
		return nil, errors.Wrap(err, "clear temporary spool directory")
	}
	for _, name := range []string{chunkDir, versionDir, tempDir} {
		if err := os.MkdirAll(s.dir(name), dirMode); err != nil {
			return nil, errors.Wrap(err, "create spool directory")
		}
	}
	if err := s.scan(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Store) dir(name string) string {
	return filepath.Join(s.cfg.Dir, name)
}

func (s *Store) chunkPath(d manifest.Digest) string {
	return filepath.Join(s.cfg.Dir, chunkDir, hex.EncodeToString(d[:]))
}

func (s *Store) versionPath(d manifest.Digest) string {
	return filepath.Join(s.cfg.Dir, versionDir, hex.EncodeToString(d[:]))
}

// scan adds the files of an earlier process to the tables as unverified.
func (s *Store) scan() error {
	err := s.scanDir(chunkDir, func(d manifest.Digest, size int64) {
		s.chunks[d] = location{path: s.chunkPath(d), size: size}
	})
	if err != nil {
		return err
	}
	return s.scanDir(versionDir, func(d manifest.Digest, _ int64) {
		s.versions[d] = false
	})
}

func (s *Store) scanDir(name string, add func(manifest.Digest, int64)) error {
	entries, err := os.ReadDir(s.dir(name))
	if err != nil {
		return errors.Wrap(err, "read spool directory")
	}
	for _, entry := range entries {
		d, ok := digestFromName(entry.Name())
		info, err := entry.Info()
		if err != nil || !ok || !info.Mode().IsRegular() {
			_ = os.RemoveAll(filepath.Join(s.dir(name), entry.Name()))
			continue
		}
		s.used += info.Size()
		add(d, info.Size())
	}
	return nil
}

// digestFromName parses a file name as chunkPath and versionPath form it.
func digestFromName(name string) (manifest.Digest, bool) {
	var d manifest.Digest
	raw, err := hex.DecodeString(name)
	if err != nil || len(raw) != len(d) || strings.ToLower(name) != name {
		return d, false
	}
	copy(d[:], raw)
	return d, true
}

// Has reports whether the spool holds the chunk, verified. A chunk that an
// earlier process left is verified first and removed if it is corrupt.
func (s *Store) Has(c manifest.Chunk) bool {
	s.mu.Lock()
	loc, ok := s.chunks[c.Digest]
	s.mu.Unlock()
	if !ok {
		return false
	}
	return loc.verified || s.verifyChunk(c, loc)
}

func (s *Store) verifyChunk(c manifest.Chunk, loc location) bool {
	valid := loc.size == c.Size && fileMatches(loc.path, loc.offset, c)
	if !valid {
		s.dropChunk(c.Digest, loc)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chunks[c.Digest].path == loc.path {
		loc.verified = true
		s.chunks[c.Digest] = loc
	}
	return true
}

// dropChunk drops a chunk unless its location has changed meanwhile. Its own file
// is removed; an assembled file that contained it must be verified again.
func (s *Store) dropChunk(d manifest.Digest, loc location) {
	s.mu.Lock()
	if s.chunks[d].path != loc.path {
		s.mu.Unlock()
		return
	}
	delete(s.chunks, d)
	s.markUnverifiedLocked(loc.path)
	s.mu.Unlock()
	if loc.path == s.chunkPath(d) && os.Remove(loc.path) == nil {
		s.release(loc.size)
	}
}

// markUnverifiedLocked makes sure that an assembled file is verified again before
// its next use. It is called with mu held.
func (s *Store) markUnverifiedLocked(path string) {
	for d := range s.versions {
		if s.versionPath(d) == path {
			s.versions[d] = false
		}
	}
}

// fileMatches reports whether the file contains the chunk at offset.
func fileMatches(path string, offset int64, c manifest.Chunk) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }()
	return copyChunk(io.Discard, io.NewSectionReader(f, offset, c.Size), c) == nil
}

// Put reads the chunk from r, verifies it and stores it. It fails with
// ChunkCorrupt if r returns anything but exactly the chunk, and with SpoolFull if
// the spool has no room. On failure nothing is stored.
func (s *Store) Put(c manifest.Chunk, r io.Reader) error {
	if s.Has(c) {
		return nil
	}
	if err := s.reserve(c.Size); err != nil {
		return err
	}
	tempPath, err := s.writeTempChunk(c, r)
	if err != nil {
		s.release(c.Size)
		return err
	}
	return s.commitChunk(c, tempPath)
}

// commitChunk moves a verified temporary file to the chunk's path. If the chunk
// was stored meanwhile, the temporary file is removed.
func (s *Store) commitChunk(c manifest.Chunk, tempPath string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.chunks[c.Digest]; ok {
		s.used -= c.Size
		return os.Remove(tempPath)
	}
	path := s.chunkPath(c.Digest)
	if err := os.Rename(tempPath, path); err != nil {
		s.used -= c.Size
		return errors.CombineErrors(errors.Wrap(err, "rename chunk file"), os.Remove(tempPath))
	}
	s.chunks[c.Digest] = location{path: path, size: c.Size, verified: true}
	return nil
}

func (s *Store) writeTempChunk(c manifest.Chunk, r io.Reader) (string, error) {
	f, err := os.CreateTemp(s.dir(tempDir), "chunk-")
	if err != nil {
		return "", errors.Wrap(err, "create temporary chunk file")
	}
	err = copyChunk(f, r, c)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return "", err
	}
	return f.Name(), nil
}

// Read opens a verified chunk. It fails with ChunkMissing if the spool does not
// hold the chunk. The caller must close the reader.
func (s *Store) Read(c manifest.Chunk) (io.ReadCloser, error) {
	if !s.Has(c) {
		return nil, result.New(result.ChunkMissing, "chunk %s is not in the spool", c.Digest)
	}
	// An assembly may move the chunk into its file between the lookup and the
	// open. That happens only once, so one retry is enough.
	r, err := s.openChunk(c)
	if errors.Is(err, fs.ErrNotExist) {
		r, err = s.openChunk(c)
	}
	if errors.Is(err, fs.ErrNotExist) {
		return nil, result.New(result.ChunkMissing, "chunk %s was dropped", c.Digest)
	}
	return r, err
}

func (s *Store) openChunk(c manifest.Chunk) (io.ReadCloser, error) {
	s.mu.Lock()
	loc, ok := s.chunks[c.Digest]
	s.mu.Unlock()
	if !ok {
		return nil, fs.ErrNotExist
	}
	f, err := os.Open(loc.path)
	if err != nil {
		return nil, errors.Wrap(err, "open chunk file")
	}
	return sectionReadCloser{Reader: io.NewSectionReader(f, loc.offset, loc.size), Closer: f}, nil
}

// Size returns the size of a chunk in the spool, verified or not.
func (s *Store) Size(d manifest.Digest) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	loc, ok := s.chunks[d]
	return loc.size, ok
}

type sectionReadCloser struct {
	io.Reader
	io.Closer
}

// Used returns the number of bytes on disk, including those reserved by writes in
// progress.
func (s *Store) Used() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// reserve counts n more bytes as used. It fails with SpoolFull if they exceed
// MaxBytes.
func (s *Store) reserve(n int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.MaxBytes > 0 && s.used+n > s.cfg.MaxBytes {
		return result.New(result.SpoolFull, "spool uses %d of %d bytes, %d more requested", s.used, s.cfg.MaxBytes, n)
	}
	s.used += n
	return nil
}

func (s *Store) release(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used -= n
}
