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

func content(seed byte, n int) []byte {
	data := make([]byte, n)
	_, _ = rand.NewChaCha8([32]byte{seed}).Read(data)
	return data
}

func open(t *testing.T, dir string, limit int64) *Store {
	t.Helper()
	s, err := Open(Config{Dir: dir, MaxBytes: limit})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// fill puts all chunks of the content and returns its manifest.
func fill(t *testing.T, s *Store, version string, data []byte) *manifest.Manifest {
	t.Helper()
	m := manifest.Build(version, data, chunkSize)
	for i, c := range m.Chunks {
		if err := s.Put(c, bytes.NewReader(data[i*chunkSize:min(len(data), (i+1)*chunkSize)])); err != nil {
			t.Fatal(err)
		}
	}
	return m
}

func assemble(t *testing.T, s *Store, m *manifest.Manifest, data []byte) string {
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

func TestPutRefusesAnythingButTheChunk(t *testing.T) {
	data := content(1, chunkSize)
	c := manifest.Build("v", data, chunkSize).Chunks[0]
	flipped := bytes.Clone(data)
	flipped[17] ^= 1
	for name, bad := range map[string][]byte{
		"corrupt":   flipped,
		"truncated": data[:chunkSize-1],
		"oversized": append(bytes.Clone(data), 0),
		"empty":     nil,
	} {
		s := open(t, t.TempDir(), 0)
		if err := s.Put(c, bytes.NewReader(bad)); result.CodeOf(err) != result.ChunkCorrupt {
			t.Errorf("%s: got %v", name, err)
		}
		if s.Has(c) || s.Used() != 0 {
			t.Errorf("%s: kept, %d bytes used", name, s.Used())
		}
		left, _ := filepath.Glob(filepath.Join(s.cfg.Dir, "*", "*"))
		if len(left) > 0 {
			t.Errorf("%s: left %v", name, left)
		}
	}
}

func TestChunksFoundAtRestartAreVerifiedBeforeUse(t *testing.T) {
	data := content(2, 4*chunkSize)
	for name, spoil := range map[string]func(path string) error{
		"corrupt":   func(path string) error { return flipByte(path, 100) },
		"truncated": func(path string) error { return os.Truncate(path, chunkSize/2) },
		"longer":    func(path string) error { return os.Truncate(path, chunkSize+1) },
		"empty":     func(path string) error { return os.Truncate(path, 0) },
	} {
		dir := t.TempDir()
		s := open(t, dir, 0)
		m := fill(t, s, "v", data)
		if err := spoil(s.chunkPath(m.Chunks[2].Digest)); err != nil {
			t.Fatal(err)
		}
		s = open(t, dir, 0)
		for i, c := range m.Chunks {
			if s.Has(c) != (i != 2) {
				t.Errorf("%s: chunk %d held: %v", name, i, s.Has(c))
			}
		}
		if _, err := s.Assemble(m); result.CodeOf(err) != result.ChunkMissing {
			t.Errorf("%s: assembled with a bad chunk: %v", name, err)
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

func TestAnAssembledVersionFoundAtRestartIsVerifiedBeforeUse(t *testing.T) {
	data := content(3, 5*chunkSize+100)
	for name, spoil := range map[string]func(path string) error{
		"corrupt":   func(path string) error { return flipByte(path, 3*chunkSize+5) },
		"truncated": func(path string) error { return os.Truncate(path, 5*chunkSize) },
		"longer":    func(path string) error { return os.Truncate(path, 6*chunkSize) },
	} {
		dir := t.TempDir()
		s := open(t, dir, 0)
		m := fill(t, s, "v", data)
		path := assemble(t, s, m, data)
		if got, ok := open(t, dir, 0).Whole(m); !ok || got != path {
			t.Fatalf("%s: a sound version was not found again", name)
		}
		if err := spoil(path); err != nil {
			t.Fatal(err)
		}
		s = open(t, dir, 0)
		if _, ok := s.Whole(m); ok {
			t.Errorf("%s: a bad version was taken for whole", name)
		}
		m = fill(t, s, "v", data)
		assemble(t, s, m, data)
	}
}

func TestUnfinishedFilesAreRemovedAtRestart(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, 0)
	for _, name := range []string{"temp/chunk-1", "temp/version-2", "chunks/not-a-digest", "versions/x"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte("half"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s = open(t, s.cfg.Dir, 0)
	left, _ := filepath.Glob(filepath.Join(dir, "*", "*"))
	if len(left) > 0 || s.Used() != 0 {
		t.Errorf("left %v, %d bytes used", left, s.Used())
	}
}

func TestAChunkThatRottedOnDiskIsNotAssembled(t *testing.T) {
	data := content(4, 3*chunkSize)
	s := open(t, t.TempDir(), 0)
	m := fill(t, s, "v", data)
	if err := flipByte(s.chunkPath(m.Chunks[1].Digest), 9); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Assemble(m); result.CodeOf(err) != result.ChunkCorrupt {
		t.Fatalf("assembled a rotten chunk: %v", err)
	}
	if s.Has(m.Chunks[1]) {
		t.Error("the rotten chunk is still held")
	}
	assemble(t, s, fill(t, s, "v", data), data)
}

func TestTheSpoolIsBounded(t *testing.T) {
	data := content(5, 4*chunkSize)
	s := open(t, t.TempDir(), 3*chunkSize)
	m := manifest.Build("v", data, chunkSize)
	for i, c := range m.Chunks {
		err := s.Put(c, bytes.NewReader(data[i*chunkSize:(i+1)*chunkSize]))
		if want := i == 3; (result.CodeOf(err) == result.SpoolFull) != want {
			t.Errorf("chunk %d: %v", i, err)
		}
	}
}

func TestAVersionTakesItsSizeOnce(t *testing.T) {
	data := content(6, 8*chunkSize)
	s := open(t, t.TempDir(), 0)
	m := fill(t, s, "v", data)
	assemble(t, s, m, data)
	if s.Used() != m.Size() {
		t.Errorf("%d bytes used for %d", s.Used(), m.Size())
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

func TestKeepDropsAllButCommonChunks(t *testing.T) {
	first := content(7, 6*chunkSize)
	second := append(bytes.Clone(first[:3*chunkSize]), content(8, 3*chunkSize)...)
	s := open(t, t.TempDir(), 0)
	old := fill(t, s, "v1", first)
	assemble(t, s, old, first)
	m := manifest.Build("v2", second, chunkSize)
	s.Keep(m)
	if s.Used() != 3*chunkSize {
		t.Errorf("%d bytes used, 3 chunks expected", s.Used())
	}
	for i, c := range m.Chunks {
		if s.Has(c) != (i < 3) {
			t.Errorf("chunk %d held: %v", i, s.Has(c))
		}
	}
	if _, ok := s.Whole(old); ok {
		t.Error("the old version is still there")
	}
	assemble(t, s, fill(t, s, "v2", second), second)
}

func TestAChunkThatStandsTwiceIsStoredOnce(t *testing.T) {
	data := bytes.Repeat(content(9, chunkSize), 4)
	s := open(t, t.TempDir(), 0)
	m := fill(t, s, "v", data)
	if s.Used() != chunkSize {
		t.Errorf("%d bytes used", s.Used())
	}
	assemble(t, s, m, data)
}

// endless yields bytes without end and counts them.
type endless struct{ n int64 }

func (e *endless) Read(p []byte) (int, error) {
	if e.n > 1<<24 {
		return 0, os.ErrDeadlineExceeded
	}
	e.n += int64(len(p))
	return len(p), nil
}

func TestPutReadsNoMoreThanTheChunk(t *testing.T) {
	s := open(t, t.TempDir(), 0)
	c := manifest.Build("v", content(1, chunkSize), chunkSize).Chunks[0]
	r := &endless{}
	if err := s.Put(c, r); result.CodeOf(err) != result.ChunkCorrupt {
		t.Errorf("got %v", err)
	}
	if r.n > chunkSize+1 {
		t.Errorf("%d bytes read for a chunk of %d", r.n, chunkSize)
	}
}
