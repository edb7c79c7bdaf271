package store

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/blake3"

	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// AssembledPath returns the path of the assembled version if the spool holds it.
// A file that an earlier process left is verified first and removed if it is
// corrupt.
func (s *Store) AssembledPath(m *manifest.Manifest) (string, bool) {
	d := m.Digest()
	path := s.versionPath(d)
	s.mu.Lock()
	verified, ok := s.versions[d]
	s.mu.Unlock()
	if !ok {
		return "", false
	}
	if verified {
		return path, true
	}
	if err := verifyFile(path, m); err != nil {
		s.dropVersion(d)
		return "", false
	}
	s.addVersion(m, d, path)
	return path, true
}

// Assemble writes the version's content to one file, verifies it and returns its
// path. It fails with ChunkMissing if the spool lacks a chunk, with ChunkCorrupt
// if a chunk is corrupt on disk, and with SpoolFull if the spool has no room.
func (s *Store) Assemble(m *manifest.Manifest) (string, error) {
	if path, ok := s.AssembledPath(m); ok {
		return path, nil
	}
	if err := s.reserve(m.Size()); err != nil {
		return "", err
	}
	tempPath, err := s.writeVersion(m)
	if err != nil {
		s.release(m.Size())
		return "", err
	}
	d := m.Digest()
	path := s.versionPath(d)
	if err := os.Rename(tempPath, path); err != nil {
		s.release(m.Size())
		return "", errors.CombineErrors(errors.Wrap(err, "rename version file"), os.Remove(tempPath))
	}
	s.addVersion(m, d, path)
	return path, nil
}

func (s *Store) writeVersion(m *manifest.Manifest) (string, error) {
	f, err := os.CreateTemp(s.dir(tempDir), "version-")
	if err != nil {
		return "", errors.Wrap(err, "create temporary version file")
	}
	err = s.copyChunks(f, m)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = verifyFile(f.Name(), m)
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return "", err
	}
	return f.Name(), nil
}

func (s *Store) copyChunks(w io.Writer, m *manifest.Manifest) error {
	for _, c := range m.Chunks {
		if err := s.copyStoredChunk(w, c); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) copyStoredChunk(w io.Writer, c manifest.Chunk) error {
	r, err := s.Read(c)
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }()
	err = copyChunk(w, r, c)
	if result.CodeOf(err) == result.ChunkCorrupt {
		s.Discard(c.Digest)
	}
	return err
}

// Discard drops a chunk that was found corrupt, so that it is fetched again.
func (s *Store) Discard(d manifest.Digest) {
	s.mu.Lock()
	loc, ok := s.chunks[d]
	s.mu.Unlock()
	if ok {
		s.dropChunk(d, loc)
	}
}

// addVersion adds an assembled version, points the locations of its chunks into
// its file and removes their separate files.
func (s *Store) addVersion(m *manifest.Manifest, d manifest.Digest, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[d] = true
	var offset int64
	for _, c := range m.Chunks {
		chunkFile := s.chunkPath(c.Digest)
		if old, ok := s.chunks[c.Digest]; ok && old.path == chunkFile && os.Remove(chunkFile) == nil {
			s.used -= old.size
		}
		s.chunks[c.Digest] = location{path: path, offset: offset, size: c.Size, verified: true}
		offset += c.Size
	}
}

func (s *Store) dropVersion(d manifest.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropVersionLocked(d)
}

func (s *Store) dropVersionLocked(d manifest.Digest) {
	path := s.versionPath(d)
	if info, err := os.Stat(path); err == nil && os.Remove(path) == nil {
		s.used -= info.Size()
	}
	delete(s.versions, d)
	for digest, loc := range s.chunks {
		if loc.path == path {
			delete(s.chunks, digest)
		}
	}
}

// RetainOnly drops every version and chunk that none of the manifests lists.
// Chunks that a kept manifest shares with a dropped version are copied out of its
// file first, as far as the spool has room.
func (s *Store) RetainOnly(manifests ...*manifest.Manifest) {
	keepVersions := make(map[manifest.Digest]bool, len(manifests))
	keepChunks := make(map[manifest.Digest]bool)
	for _, m := range manifests {
		keepVersions[m.Digest()] = true
		for _, c := range m.Chunks {
			keepChunks[c.Digest] = true
		}
	}
	s.copyOutSharedChunks(keepVersions, keepChunks)
	s.mu.Lock()
	defer s.mu.Unlock()
	for d := range s.versions {
		if !keepVersions[d] {
			s.dropVersionLocked(d)
		}
	}
	for d, loc := range s.chunks {
		if !keepChunks[d] && loc.path == s.chunkPath(d) {
			s.removeChunkFileLocked(d, loc)
		}
	}
}

func (s *Store) removeChunkFileLocked(d manifest.Digest, loc location) {
	if os.Remove(loc.path) == nil {
		s.used -= loc.size
	}
	delete(s.chunks, d)
}

// copyOutSharedChunks copies the chunks to keep out of the versions that are
// about to be dropped.
func (s *Store) copyOutSharedChunks(keepVersions, keepChunks map[manifest.Digest]bool) {
	for c, loc := range s.sharedChunks(keepVersions, keepChunks) {
		s.copyOutChunk(c, loc)
	}
}

func (s *Store) sharedChunks(keepVersions, keepChunks map[manifest.Digest]bool) map[manifest.Chunk]location {
	s.mu.Lock()
	defer s.mu.Unlock()
	paths := make(map[string]bool)
	for d := range s.versions {
		if !keepVersions[d] {
			paths[s.versionPath(d)] = true
		}
	}
	shared := make(map[manifest.Chunk]location)
	for d, loc := range s.chunks {
		if keepChunks[d] && paths[loc.path] {
			shared[manifest.Chunk{Digest: d, Size: loc.size}] = loc
		}
	}
	return shared
}

func (s *Store) copyOutChunk(c manifest.Chunk, loc location) {
	f, err := os.Open(loc.path)
	if err != nil {
		return
	}
	defer func() { _ = f.Close() }()
	if s.reserve(c.Size) != nil {
		return
	}
	tempPath, err := s.writeTempChunk(c, io.NewSectionReader(f, loc.offset, loc.size))
	if err != nil {
		s.release(c.Size)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	chunkFile := s.chunkPath(c.Digest)
	if err := os.Rename(tempPath, chunkFile); err != nil {
		_ = os.Remove(tempPath)
		s.used -= c.Size
		return
	}
	s.chunks[c.Digest] = location{path: chunkFile, size: c.Size, verified: true}
}

// copyChunk copies the chunk from r to w and verifies it. It fails with
// ChunkCorrupt if r returns anything but exactly the chunk.
func copyChunk(w io.Writer, r io.Reader, c manifest.Chunk) error {
	h := blake3.New()
	limited := io.LimitReader(r, c.Size+1)
	n, err := io.CopyBuffer(struct{ io.Writer }{io.MultiWriter(w, h)}, struct{ io.Reader }{limited}, make([]byte, copyBufferSize))
	if err != nil {
		return errors.Wrap(err, "copy chunk")
	}
	if n != c.Size {
		return result.New(result.ChunkCorrupt, "chunk %s: read %d bytes, expected %d", c.Digest, n, c.Size)
	}
	var d manifest.Digest
	h.Sum(d[:0])
	if d != c.Digest {
		return result.New(result.ChunkCorrupt, "content of chunk %s has digest %s", c.Digest, d)
	}
	return nil
}

// verifyFile verifies the size of a version's file and each of its chunks.
func verifyFile(path string, m *manifest.Manifest) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open version file")
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return errors.Wrap(err, "stat version file")
	}
	if info.Size() != m.Size() {
		return result.New(result.ChunkCorrupt, "version %s has %d bytes, expected %d", m.Version, info.Size(), m.Size())
	}
	for _, c := range m.Chunks {
		if err := copyChunk(io.Discard, io.LimitReader(f, c.Size), c); err != nil {
			return err
		}
	}
	return nil
}
