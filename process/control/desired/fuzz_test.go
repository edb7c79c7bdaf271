package desired

import "testing"

// FuzzRestore restores snapshots, as from another replica or a damaged disk.
func FuzzRestore(f *testing.F) {
	data, err := New().Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New()
		if m.Restore(data) != nil {
			return
		}
		again, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := New().Restore(again); err != nil {
			t.Errorf("the snapshot of a restored machine can't be restored: %v", err)
		}
	})
}

// FuzzDecompress decompresses configuration documents.
func FuzzDecompress(f *testing.F) {
	content, err := Compress([]byte(`{"version":1}`))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add(content[:len(content)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		if document, err := Decompress(data); err == nil && len(document) > maxDocumentBytes {
			t.Errorf("%d bytes", len(document))
		}
	})
}
