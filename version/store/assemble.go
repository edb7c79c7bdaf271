package store

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/blake3"

	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Whole returns the path of the assembled version if it is there and sound.
// A file that an earlier process left is verified first; a bad one is removed.
func (s *Store) Whole(m *manifest.Manifest) (string, bool) {
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
	s.enterVersion(m, d, path)
	return path, true
}

// Assemble writes the version's whole content to one file, verifies it and
// returns its path. Every chunk must be held, else it fails with ChunkMissing.
func (s *Store) Assemble(m *manifest.Manifest) (string, error) {
	if path, ok := s.Whole(m); ok {
		return path, nil
	}
	if err := s.reserve(m.Size()); err != nil {
		return "", err
	}
	temp, err := s.writeWhole(m)
	if err != nil {
		s.release(m.Size())
		return "", err
	}
	d := m.Digest()
	path := s.versionPath(d)
	if err := os.Rename(temp, path); err != nil {
		s.release(m.Size())
		return "", errors.CombineErrors(errors.Wrap(err, "keep version"), os.Remove(temp))
	}
	s.enterVersion(m, d, path)
	return path, nil
}

func (s *Store) writeWhole(m *manifest.Manifest) (string, error) {
	f, err := os.CreateTemp(s.folder(tempFolder), "version-")
	if err != nil {
		return "", errors.Wrap(err, "create temporary version")
	}
	err = s.copyAll(f, m)
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

func (s *Store) copyAll(w io.Writer, m *manifest.Manifest) error {
	for _, c := range m.Chunks {
		if err := s.copyOne(w, c); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) copyOne(w io.Writer, c manifest.Chunk) error {
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

// Discard drops a chunk whose bytes were found bad, so that it is fetched anew.
func (s *Store) Discard(d manifest.Digest) {
	s.mu.Lock()
	p, ok := s.chunks[d]
	s.mu.Unlock()
	if ok {
		s.dropChunk(d, p)
	}
}

// enterVersion points the version's chunks into the assembled file and drops
// their single copies.
func (s *Store) enterVersion(m *manifest.Manifest, d manifest.Digest, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[d] = true
	var offset int64
	for _, c := range m.Chunks {
		single := s.chunkPath(c.Digest)
		if old, ok := s.chunks[c.Digest]; ok && old.path == single && os.Remove(single) == nil {
			s.used -= old.size
		}
		s.chunks[c.Digest] = place{path: path, offset: offset, size: c.Size, verified: true}
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
	for digest, p := range s.chunks {
		if p.path == path {
			delete(s.chunks, digest)
		}
	}
}

// Keep drops every version and chunk that none of the manifests names. Chunks
// that a kept manifest shares with a dropped version are copied out first, as
// far as the spool has room.
func (s *Store) Keep(manifests ...*manifest.Manifest) {
	versions := make(map[manifest.Digest]bool, len(manifests))
	chunks := make(map[manifest.Digest]bool)
	for _, m := range manifests {
		versions[m.Digest()] = true
		for _, c := range m.Chunks {
			chunks[c.Digest] = true
		}
	}
	s.rescue(versions, chunks)
	s.mu.Lock()
	defer s.mu.Unlock()
	for d := range s.versions {
		if !versions[d] {
			s.dropVersionLocked(d)
		}
	}
	for d, p := range s.chunks {
		if !chunks[d] && p.path == s.chunkPath(d) {
			s.removeSingleLocked(d, p)
		}
	}
}

func (s *Store) removeSingleLocked(d manifest.Digest, p place) {
	if os.Remove(p.path) == nil {
		s.used -= p.size
	}
	delete(s.chunks, d)
}

// rescue copies wanted chunks out of versions that are about to be dropped.
func (s *Store) rescue(versions, chunks map[manifest.Digest]bool) {
	for c, p := range s.doomed(versions, chunks) {
		s.rescueOne(c, p)
	}
}

func (s *Store) doomed(versions, chunks map[manifest.Digest]bool) map[manifest.Chunk]place {
	s.mu.Lock()
	defer s.mu.Unlock()
	paths := make(map[string]bool)
	for d := range s.versions {
		if !versions[d] {
			paths[s.versionPath(d)] = true
		}
	}
	doomed := make(map[manifest.Chunk]place)
	for d, p := range s.chunks {
		if chunks[d] && paths[p.path] {
			doomed[manifest.Chunk{Digest: d, Size: p.size}] = p
		}
	}
	return doomed
}

func (s *Store) rescueOne(c manifest.Chunk, p place) {
	f, err := os.Open(p.path)
	if err != nil {
		return
	}
	defer func() { _ = f.Close() }()
	if s.reserve(c.Size) != nil {
		return
	}
	temp, err := s.writeTemp(c, io.NewSectionReader(f, p.offset, p.size))
	if err != nil {
		s.release(c.Size)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	single := s.chunkPath(c.Digest)
	if err := os.Rename(temp, single); err != nil {
		_ = os.Remove(temp)
		s.used -= c.Size
		return
	}
	s.chunks[c.Digest] = place{path: single, size: c.Size, verified: true}
}

// copyChunk copies exactly the chunk from r to w and verifies it.
func copyChunk(w io.Writer, r io.Reader, c manifest.Chunk) error {
	h := blake3.New()
	limited := io.LimitReader(r, c.Size+1)
	n, err := io.CopyBuffer(struct{ io.Writer }{io.MultiWriter(w, h)}, struct{ io.Reader }{limited}, make([]byte, copyBufferSize))
	if err != nil {
		return errors.Wrap(err, "copy chunk")
	}
	if n != c.Size {
		return result.New(result.ChunkCorrupt, "chunk %s has %d bytes or more, %d expected", c.Digest, n, c.Size)
	}
	var d manifest.Digest
	h.Sum(d[:0])
	if d != c.Digest {
		return result.New(result.ChunkCorrupt, "chunk %s arrived as %s", c.Digest, d)
	}
	return nil
}

// verifyFile checks the file against the whole manifest.
func verifyFile(path string, m *manifest.Manifest) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open version")
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return errors.Wrap(err, "stat version")
	}
	if info.Size() != m.Size() {
		return result.New(result.ChunkCorrupt, "%s has %d bytes, %d expected", m.Version, info.Size(), m.Size())
	}
	for _, c := range m.Chunks {
		if err := copyChunk(io.Discard, io.LimitReader(f, c.Size), c); err != nil {
			return err
		}
	}
	return nil
}
