package store

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

const chunkSize = 4096

func randomContent(seed byte, n int) []byte {
	data := make([]byte, n)
	_, _ = rand.NewChaCha8([32]byte{seed}).Read(data)
	return data
}

func openStore(t *testing.T, dir string, maxBytes int64) *Store {
	t.Helper()
	s, err := Open(Config{Dir: dir, MaxBytes: maxBytes})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// putChunks puts all chunks of the content and returns its manifest.
func putChunks(t *testing.T, s *Store, version string, data []byte) *manifest.Manifest {
	t.Helper()
	m := manifest.Build(version, data, chunkSize)
	for i, c := range m.Chunks {
		if err := s.Put(c, bytes.NewReader(data[i*chunkSize:min(len(data), (i+1)*chunkSize)])); err != nil {
			t.Fatal(err)
		}
	}
	return m
}

func assembleAndCheck(t *testing.T, s *Store, m *manifest.Manifest, data []byte) string {
	t.Helper()
	path, err := s.Assemble(m)
	if err != nil {
		t.Fatal(err)
	}
	checkFile(t, path, data)
	return path
}

func checkFile(t *testing.T, path string, data []byte) {
	t.Helper()
	got, err := os.ReadFile(path)
	if err != nil || !bytes.Equal(got, data) {
		t.Fatalf("the assembled file differs from the content (%v)", err)
	}
}

func TestPutRejectsWrongContent(t *testing.T) {
	data := randomContent(1, chunkSize)
	c := manifest.Build("v", data, chunkSize).Chunks[0]
	flipped := bytes.Clone(data)
	flipped[17] ^= 1
	for name, bad := range map[string][]byte{
		"corrupt":   flipped,
		"truncated": data[:chunkSize-1],
		"oversized": append(bytes.Clone(data), 0),
		"empty":     nil,
	} {
		s := openStore(t, t.TempDir(), 0)
		if err := s.Put(c, bytes.NewReader(bad)); result.CodeOf(err) != result.ChunkCorrupt {
			t.Errorf("%s: got %v", name, err)
		}
		if s.Has(c) || s.Used() != 0 {
			t.Errorf("%s: the chunk was stored or %d bytes are still used", name, s.Used())
		}
		left, _ := filepath.Glob(filepath.Join(s.cfg.Dir, "*", "*"))
		if len(left) > 0 {
			t.Errorf("%s: files left in the spool: %v", name, left)
		}
	}
}

func TestRestartVerifiesChunksBeforeUse(t *testing.T) {
	data := randomContent(2, 4*chunkSize)
	for name, damage := range map[string]func(path string) error{
		"corrupt":   func(path string) error { return flipByte(path, 100) },
		"truncated": func(path string) error { return os.Truncate(path, chunkSize/2) },
		"longer":    func(path string) error { return os.Truncate(path, chunkSize+1) },
		"empty":     func(path string) error { return os.Truncate(path, 0) },
	} {
		dir := t.TempDir()
		s := openStore(t, dir, 0)
		m := putChunks(t, s, "v", data)
		if err := damage(s.chunkPath(m.Chunks[2].Digest)); err != nil {
			t.Fatal(err)
		}
		s = openStore(t, dir, 0)
		for i, c := range m.Chunks {
			if s.Has(c) != (i != 2) {
				t.Errorf("%s: chunk %d in the spool: %v", name, i, s.Has(c))
			}
		}
		if _, err := s.Assemble(m); result.CodeOf(err) != result.ChunkMissing {
			t.Errorf("%s: assembled with a corrupt chunk: %v", name, err)
		}
	}
}

func flipByte(path string, at int64) error {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	var b [1]byte
	if _, err := f.ReadAt(b[:], at); err != nil {
		return err
	}
	b[0] ^= 0x80
	_, err = f.WriteAt(b[:], at)
	return err
}

func TestRestartVerifiesAssembledVersionBeforeUse(t *testing.T) {
	data := randomContent(3, 5*chunkSize+100)
	for name, damage := range map[string]func(path string) error{
		"corrupt":   func(path string) error { return flipByte(path, 3*chunkSize+5) },
		"truncated": func(path string) error { return os.Truncate(path, 5*chunkSize) },
		"longer":    func(path string) error { return os.Truncate(path, 6*chunkSize) },
	} {
		dir := t.TempDir()
		s := openStore(t, dir, 0)
		m := putChunks(t, s, "v", data)
		path := assembleAndCheck(t, s, m, data)
		if got, ok := openStore(t, dir, 0).AssembledPath(m); !ok || got != path {
			t.Fatalf("%s: an intact version was not found after a restart", name)
		}
		if err := damage(path); err != nil {
			t.Fatal(err)
		}
		s = openStore(t, dir, 0)
		if _, ok := s.AssembledPath(m); ok {
			t.Errorf("%s: a corrupt version was accepted", name)
		}
		m = putChunks(t, s, "v", data)
		assembleAndCheck(t, s, m, data)
	}
}

func TestRestartRemovesUnfinishedFiles(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir, 0)
	for _, name := range []string{"temp/chunk-1", "temp/version-2", "chunks/not-a-digest", "versions/x"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte("half"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s = openStore(t, s.cfg.Dir, 0)
	left, _ := filepath.Glob(filepath.Join(dir, "*", "*"))
	if len(left) > 0 || s.Used() != 0 {
		t.Errorf("files left in the spool: %v, %d bytes used", left, s.Used())
	}
}

func TestAssembleRejectsChunkCorruptedOnDisk(t *testing.T) {
	data := randomContent(4, 3*chunkSize)
	s := openStore(t, t.TempDir(), 0)
	m := putChunks(t, s, "v", data)
	if err := flipByte(s.chunkPath(m.Chunks[1].Digest), 9); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Assemble(m); result.CodeOf(err) != result.ChunkCorrupt {
		t.Fatalf("assembled with a corrupt chunk: %v", err)
	}
	if s.Has(m.Chunks[1]) {
		t.Error("the corrupt chunk is still in the spool")
	}
	assembleAndCheck(t, s, putChunks(t, s, "v", data), data)
}

func TestPutFailsWhenSpoolIsFull(t *testing.T) {
	data := randomContent(5, 4*chunkSize)
	s := openStore(t, t.TempDir(), 3*chunkSize)
	m := manifest.Build("v", data, chunkSize)
	for i, c := range m.Chunks {
		err := s.Put(c, bytes.NewReader(data[i*chunkSize:(i+1)*chunkSize]))
		if want := i == 3; (result.CodeOf(err) == result.SpoolFull) != want {
			t.Errorf("chunk %d: %v", i, err)
		}
	}
}

func TestAssembledVersionIsStoredOnce(t *testing.T) {
	data := randomContent(6, 8*chunkSize)
	s := openStore(t, t.TempDir(), 0)
	m := putChunks(t, s, "v", data)
	assembleAndCheck(t, s, m, data)
	if s.Used() != m.Size() {
		t.Errorf("%d bytes used for a version of %d bytes", s.Used(), m.Size())
	}
	for i, c := range m.Chunks {
		r, err := s.Read(c)
		if err != nil {
			t.Fatal(err)
		}
		if err := copyChunk(new(bytes.Buffer), r, c); err != nil {
			t.Errorf("chunk %d from the assembled file: %v", i, err)
		}
		_ = r.Close()
	}
}

func TestRetainOnlyDropsAllButSharedChunks(t *testing.T) {
	first := randomContent(7, 6*chunkSize)
	second := append(bytes.Clone(first[:3*chunkSize]), randomContent(8, 3*chunkSize)...)
	s := openStore(t, t.TempDir(), 0)
	old := putChunks(t, s, "v1", first)
	assembleAndCheck(t, s, old, first)
	m := manifest.Build("v2", second, chunkSize)
	s.RetainOnly(m)
	if s.Used() != 3*chunkSize {
		t.Errorf("%d bytes used, want the size of 3 chunks", s.Used())
	}
	for i, c := range m.Chunks {
		if s.Has(c) != (i < 3) {
			t.Errorf("chunk %d in the spool: %v", i, s.Has(c))
		}
	}
	if _, ok := s.AssembledPath(old); ok {
		t.Error("the old version is still in the spool")
	}
	assembleAndCheck(t, s, putChunks(t, s, "v2", second), second)
}

func TestRepeatedChunkIsStoredOnce(t *testing.T) {
	data := bytes.Repeat(randomContent(9, chunkSize), 4)
	s := openStore(t, t.TempDir(), 0)
	m := putChunks(t, s, "v", data)
	if s.Used() != chunkSize {
		t.Errorf("%d bytes used", s.Used())
	}
	assembleAndCheck(t, s, m, data)
}

// endlessReader returns arbitrary bytes and counts them. It fails after 16 MiB,
// so that a faulty Put cannot read forever.
type endlessReader struct{ bytesRead int64 }

func (e *endlessReader) Read(p []byte) (int, error) {
	if e.bytesRead > 1<<24 {
		return 0, os.ErrDeadlineExceeded
	}
	e.bytesRead += int64(len(p))
	return len(p), nil
}

func TestPutReadsAtMostOneByteBeyondChunk(t *testing.T) {
	s := openStore(t, t.TempDir(), 0)
	c := manifest.Build("v", randomContent(1, chunkSize), chunkSize).Chunks[0]
	r := &endlessReader{}
	if err := s.Put(c, r); result.CodeOf(err) != result.ChunkCorrupt {
		t.Errorf("got %v", err)
	}
	if r.bytesRead > chunkSize+1 {
		t.Errorf("%d bytes read for a chunk of %d bytes", r.bytesRead, chunkSize)
	}
}
