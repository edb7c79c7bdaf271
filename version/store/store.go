// Package store keeps content-addressed chunks and assembled versions in a
// bounded spool folder.
//
// A chunk is verified against its digest while it is written and appears
// under its name only when it is whole. Nothing found at a restart is trusted:
// each file is verified again before its first use. For that reason nothing is
// synced: what a crash tears is found and fetched again. An assembled version
// is written to a temporary file, verified chunk by chunk, read back and
// renamed.
// Once a version is assembled its chunks are read from the assembled file and
// the single copies are dropped, so that a version takes its size once.
//
// The mutex guards the tables only; files are read and written outside it.
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
	chunkFolder    = "chunks"
	versionFolder  = "versions"
	tempFolder     = "temp"
	folderMode     = 0o750
	copyBufferSize = 128 << 10
)

// Config holds the settings of a Store.
type Config struct {
	// Dir is the spool folder. It belongs to the store alone.
	Dir string
	// MaxBytes bounds what the spool holds. Zero means unlimited.
	MaxBytes int64
}

// place is where a chunk's bytes lie.
type place struct {
	path     string
	offset   int64
	size     int64
	verified bool
}

// Store is a spool folder. All methods are safe for concurrent use.
type Store struct {
	cfg Config

	mu sync.Mutex
	// chunks holds every known chunk by digest.
	chunks map[manifest.Digest]place
	// versions holds the assembled files by manifest digest; the value tells
	// whether the file was verified by this process.
	versions map[manifest.Digest]bool
	// used counts the bytes on disk and those reserved by writes in progress.
	used int64
}

// Open prepares the spool folder and lists what an earlier process left.
// Unfinished files are removed.
func Open(cfg Config) (*Store, error) {
	s := &Store{
		cfg:      cfg,
		chunks:   make(map[manifest.Digest]place),
		versions: make(map[manifest.Digest]bool),
	}
	if err := os.RemoveAll(s.folder(tempFolder)); err != nil {
		return nil, errors.Wrap(err, "clear the spool's temporary folder")
	}
	for _, name := range []string{chunkFolder, versionFolder, tempFolder} {
		if err := os.MkdirAll(s.folder(name), folderMode); err != nil {
			return nil, errors.Wrap(err, "create the spool folder")
		}
	}
	if err := s.scan(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Store) folder(name string) string {
	return filepath.Join(s.cfg.Dir, name)
}

func (s *Store) chunkPath(d manifest.Digest) string {
	return filepath.Join(s.cfg.Dir, chunkFolder, hex.EncodeToString(d[:]))
}

func (s *Store) versionPath(d manifest.Digest) string {
	return filepath.Join(s.cfg.Dir, versionFolder, hex.EncodeToString(d[:]))
}

// scan enters the files of an earlier process into the tables, unverified.
func (s *Store) scan() error {
	err := s.scanFolder(chunkFolder, func(d manifest.Digest, size int64) {
		s.chunks[d] = place{path: s.chunkPath(d), size: size}
	})
	if err != nil {
		return err
	}
	return s.scanFolder(versionFolder, func(d manifest.Digest, _ int64) {
		s.versions[d] = false
	})
}

func (s *Store) scanFolder(name string, found func(manifest.Digest, int64)) error {
	entries, err := os.ReadDir(s.folder(name))
	if err != nil {
		return errors.Wrap(err, "read the spool folder")
	}
	for _, entry := range entries {
		d, ok := digestOf(entry.Name())
		info, err := entry.Info()
		if err != nil || !ok || !info.Mode().IsRegular() {
			_ = os.RemoveAll(filepath.Join(s.folder(name), entry.Name()))
			continue
		}
		s.used += info.Size()
		found(d, info.Size())
	}
	return nil
}

func digestOf(name string) (manifest.Digest, bool) {
	var d manifest.Digest
	raw, err := hex.DecodeString(name)
	if err != nil || len(raw) != len(d) || strings.ToLower(name) != name {
		return d, false
	}
	copy(d[:], raw)
	return d, true
}

// Has reports whether the chunk is held and verified. A chunk that an earlier
// process left is verified first; a bad one is removed.
func (s *Store) Has(c manifest.Chunk) bool {
	s.mu.Lock()
	p, ok := s.chunks[c.Digest]
	s.mu.Unlock()
	if !ok {
		return false
	}
	return p.verified || s.verifyChunk(c, p)
}

func (s *Store) verifyChunk(c manifest.Chunk, p place) bool {
	sound := p.size == c.Size && fileMatches(p.path, p.offset, c)
	if !sound {
		s.dropChunk(c.Digest, p)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chunks[c.Digest].path == p.path {
		p.verified = true
		s.chunks[c.Digest] = p
	}
	return true
}

func (s *Store) dropChunk(d manifest.Digest, p place) {
	s.mu.Lock()
	if s.chunks[d].path != p.path {
		s.mu.Unlock()
		return
	}
	delete(s.chunks, d)
	s.distrustLocked(p.path)
	s.mu.Unlock()
	if p.path == s.chunkPath(d) && os.Remove(p.path) == nil {
		s.release(p.size)
	}
}

// distrustLocked has an assembled file verified again before its next use.
func (s *Store) distrustLocked(path string) {
	for d := range s.versions {
		if s.versionPath(d) == path {
			s.versions[d] = false
		}
	}
}

func fileMatches(path string, offset int64, c manifest.Chunk) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }()
	return copyChunk(io.Discard, io.NewSectionReader(f, offset, c.Size), c) == nil
}

// Put reads the chunk from r, verifies it and keeps it. It fails with
// ChunkCorrupt when r holds anything but exactly the chunk, and with SpoolFull
// when the spool has no room. On failure nothing is kept.
func (s *Store) Put(c manifest.Chunk, r io.Reader) error {
	if s.Has(c) {
		return nil
	}
	if err := s.reserve(c.Size); err != nil {
		return err
	}
	temp, err := s.writeTemp(c, r)
	if err != nil {
		s.release(c.Size)
		return err
	}
	return s.keepChunk(c, temp)
}

func (s *Store) keepChunk(c manifest.Chunk, temp string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.chunks[c.Digest]; ok {
		s.used -= c.Size
		return os.Remove(temp)
	}
	path := s.chunkPath(c.Digest)
	if err := os.Rename(temp, path); err != nil {
		s.used -= c.Size
		return errors.CombineErrors(errors.Wrap(err, "keep chunk"), os.Remove(temp))
	}
	s.chunks[c.Digest] = place{path: path, size: c.Size, verified: true}
	return nil
}

func (s *Store) writeTemp(c manifest.Chunk, r io.Reader) (string, error) {
	f, err := os.CreateTemp(s.folder(tempFolder), "chunk-")
	if err != nil {
		return "", errors.Wrap(err, "create temporary chunk")
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

// Read opens a verified chunk. The caller must close it.
func (s *Store) Read(c manifest.Chunk) (io.ReadCloser, error) {
	if !s.Has(c) {
		return nil, result.New(result.ChunkMissing, "chunk %s is not held", c.Digest)
	}
	// The chunk may move into an assembled file before it is opened, once.
	r, err := s.openPlace(c)
	if errors.Is(err, fs.ErrNotExist) {
		r, err = s.openPlace(c)
	}
	if errors.Is(err, fs.ErrNotExist) {
		return nil, result.New(result.ChunkMissing, "chunk %s was dropped", c.Digest)
	}
	return r, err
}

func (s *Store) openPlace(c manifest.Chunk) (io.ReadCloser, error) {
	s.mu.Lock()
	p, ok := s.chunks[c.Digest]
	s.mu.Unlock()
	if !ok {
		return nil, fs.ErrNotExist
	}
	f, err := os.Open(p.path)
	if err != nil {
		return nil, errors.Wrap(err, "open chunk")
	}
	return section{Reader: io.NewSectionReader(f, p.offset, p.size), Closer: f}, nil
}

// Size returns the size of a held chunk.
func (s *Store) Size(d manifest.Digest) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.chunks[d]
	return p.size, ok
}

type section struct {
	io.Reader
	io.Closer
}

// Used returns the bytes that the spool holds or has reserved.
func (s *Store) Used() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

func (s *Store) reserve(n int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.MaxBytes > 0 && s.used+n > s.cfg.MaxBytes {
		return result.New(result.SpoolFull, "%d bytes used of %d, %d more wanted", s.used, s.cfg.MaxBytes, n)
	}
	s.used += n
	return nil
}

func (s *Store) release(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used -= n
}
