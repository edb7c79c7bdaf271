// Package fakes provides fakes of the servers that the system uses: a model engine,
// a plain service and a weight origin. Each is an http.Handler that counts the
// requests it receives, so that tests can check these counters. The mode of a fake
// can be changed under /fake/ while it runs.
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
	// headerBytes is the fixed length of the padded header line with the name of the
	// content.
	headerBytes = 256
)

// Content returns size bytes of generated weights. They contain their name and
// size, so that CheckContent can detect partial and mixed weights.
func Content(name string, size int) []byte {
	data := make([]byte, max(size, headerBytes+8))
	header := contentMagic + name + "\n"
	copy(data, header)
	for i := len(header); i < headerBytes; i++ {
		data[i] = '.'
	}
	binary.BigEndian.PutUint64(data[headerBytes:], uint64(len(data)))
	fillRandom(data[headerBytes+8:], name)
	return data
}

// fillRandom fills data with pseudo-random bytes derived from the name.
func fillRandom(data []byte, name string) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	fillWords(data, rand.NewPCG(h.Sum64(), 1))
}

// fillWords fills data with the words of a source.
func fillWords(data []byte, rnd rand.Source) {
	var word [8]byte
	for len(data) > 0 {
		binary.LittleEndian.PutUint64(word[:], rnd.Uint64())
		data = data[copy(data, word[:]):]
	}
}

// CheckContent returns the name of the content. It returns an error unless data is
// exactly what Content generates for that name.
func CheckContent(data []byte) (string, error) {
	if len(data) < headerBytes+8 || !bytes.HasPrefix(data, []byte(contentMagic)) {
		return "", errors.Newf("not weights: %d bytes without the header", len(data))
	}
	name, _, ok := strings.Cut(string(data[len(contentMagic):headerBytes]), "\n")
	if !ok {
		return "", errors.New("not weights: the header is not terminated")
	}
	if size := binary.BigEndian.Uint64(data[headerBytes:]); size != uint64(len(data)) {
		return name, errors.Newf("weights %s have %d bytes, want %d", name, len(data), size)
	}
	want := make([]byte, len(data)-headerBytes-8)
	fillRandom(want, name)
	if !bytes.Equal(want, data[headerBytes+8:]) {
		return name, errors.Newf("weights %s are mixed or corrupt", name)
	}
	return name, nil
}
