// Package manifest defines content digests and the manifest of a version, the
// ordered list of its chunks. Values are immutable after creation and safe to
// share between goroutines.
package manifest

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/zeebo/blake3"

	"github.com/waxwingpost/waxwingpost/process/result"
)

// DigestSize is the length of a digest in bytes.
const DigestSize = 32

const digestPrefix = "blake3:"

// Digest is a BLAKE3-256 digest of content.
type Digest [DigestSize]byte

// Sum returns the digest of data.
func Sum(data []byte) Digest {
	return blake3.Sum256(data)
}

// String returns the digest as "blake3:" and lower-case hexadecimal.
func (d Digest) String() string {
	return digestPrefix + hex.EncodeToString(d[:])
}

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool {
	return d == Digest{}
}

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}

// ParseDigest parses the form that Digest.String returns.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(strings.TrimPrefix(s, digestPrefix))
	if err != nil || len(raw) != DigestSize || !strings.HasPrefix(s, digestPrefix) {
		return d, result.New(result.ManifestInvalid, "%q is not a %s digest", s, digestPrefix)
	}
	copy(d[:], raw)
	return d, nil
}

// Chunk is a contiguous part of a version's content.
type Chunk struct {
	Digest Digest `cbor:"1,keyasint" json:"digest"`
	// Size is in bytes.
	Size int64 `cbor:"2,keyasint" json:"size"`
}

// Manifest lists the chunks of a version in the order of the content.
type Manifest struct {
	// Version is the name under which the manifest is registered.
	Version string  `cbor:"1,keyasint" json:"version"`
	Chunks  []Chunk `cbor:"2,keyasint" json:"chunks"`
}

// Digest returns the digest over all chunk digests and sizes. It excludes the
// version's name, so that versions with the same chunks have the same digest.
func (m *Manifest) Digest() Digest {
	h := blake3.New()
	var size [8]byte
	for _, c := range m.Chunks {
		binary.BigEndian.PutUint64(size[:], uint64(c.Size))
		_, _ = h.Write(c.Digest[:])
		_, _ = h.Write(size[:])
	}
	var d Digest
	h.Sum(d[:0])
	return d
}

// Size returns the content's length in bytes.
func (m *Manifest) Size() int64 {
	var n int64
	for _, c := range m.Chunks {
		n += c.Size
	}
	return n
}

// Validate checks that the manifest has a version name and at least one chunk,
// and that every chunk has a size and a digest.
func (m *Manifest) Validate() error {
	if m.Version == "" {
		return result.New(result.ManifestInvalid, "manifest has no version name")
	}
	if len(m.Chunks) == 0 {
		return result.New(result.ManifestInvalid, "manifest of version %s has no chunks", m.Version)
	}
	for i, c := range m.Chunks {
		if c.Size <= 0 || c.Digest.IsZero() {
			return result.New(result.ManifestInvalid, "manifest of version %s: chunk %d has no size or digest", m.Version, i)
		}
	}
	return nil
}

// Build returns the manifest of content split into chunks of chunkSize bytes,
// which must be positive. The last chunk may be shorter.
func Build(version string, content []byte, chunkSize int) *Manifest {
	m := &Manifest{Version: version}
	for start := 0; start < len(content); start += chunkSize {
		data := content[start:min(start+chunkSize, len(content))]
		m.Chunks = append(m.Chunks, Chunk{Digest: Sum(data), Size: int64(len(data))})
	}
	return m
}
