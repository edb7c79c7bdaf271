// Package fakes holds small stand-ins for what the system talks to: a model
// engine, a plain service and a weight source. Each is an http.Handler that
// counts what reaches it, so that tests judge by the stand-in's own record.
// Modes can be switched while it runs, under /fake/.
package fakes

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	contentMagic = "waxwingpost fake weights "
	// headerBytes is the fixed length of the line that names the content.
	headerBytes = 256
)

// Content returns size bytes of generated weights. They name themselves, so
// that CheckContent can tell weights that are partial or mixed.
func Content(name string, size int) []byte {
	data := make([]byte, max(size, headerBytes+8))
	header := contentMagic + name + "\n"
	copy(data, header)
	for i := len(header); i < headerBytes; i++ {
		data[i] = '.'
	}
	binary.BigEndian.PutUint64(data[headerBytes:], uint64(len(data)))
	fill(data[headerBytes+8:], name)
	return data
}

// fill writes the pseudo-random part of the content.
func fill(data []byte, name string) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	rnd := rand.NewPCG(h.Sum64(), 1)
	var word [8]byte
	for len(data) > 0 {
		binary.LittleEndian.PutUint64(word[:], rnd.Uint64())
		data = data[copy(data, word[:]):]
	}
}

// CheckContent returns the name of the content, or an error unless data is
// exactly what Content generated under that name.
func CheckContent(data []byte) (string, error) {
	if len(data) < headerBytes+8 || !bytes.HasPrefix(data, []byte(contentMagic)) {
		return "", errors.Newf("no weights: %d bytes without the header", len(data))
	}
	line, _, ok := strings.Cut(string(data[len(contentMagic):headerBytes]), "\n")
	if !ok {
		return "", errors.New("no weights: the header does not end")
	}
	if size := binary.BigEndian.Uint64(data[headerBytes:]); size != uint64(len(data)) {
		return line, errors.Newf("weights %s have %d bytes instead of %d", line, len(data), size)
	}
	want := make([]byte, len(data)-headerBytes-8)
	fill(want, line)
	if !bytes.Equal(want, data[headerBytes+8:]) {
		return line, errors.Newf("weights %s are mixed or damaged", line)
	}
	return line, nil
}
