package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

const (
	headerBytes = 16
	sectorBytes = 512
	// magic and endMark are not zero, so that no part of a record at either
	// end is zero unless it was never written.
	magic   = 0x4c575857
	endMark = 0xa5
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	// errTorn marks a record that a crash kept from being written whole.
	errTorn = errors.New("torn record")
	// errDamaged marks a record that was whole once.
	errDamaged = errors.New("damaged record")
)

// encodeRecord returns the record of a body and the checksum that seeds the
// next one.
func encodeRecord(prev uint32, body []byte) ([]byte, uint32) {
	sum := crc32.Update(prev, castagnoli, body)
	rec := make([]byte, headerBytes, recordBytes(body))
	binary.LittleEndian.PutUint32(rec[0:], magic)
	binary.LittleEndian.PutUint32(rec[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(rec[8:], sum)
	binary.LittleEndian.PutUint32(rec[12:], crc32.Checksum(rec[:12], castagnoli))
	rec = append(rec, body...)
	return append(rec, endMark), sum
}

// recordBytes returns the size of the record of a body.
func recordBytes(body []byte) int { return headerBytes + len(body) + 1 }

// header is a decoded record header.
type header struct {
	length int
	sum    uint32
}

func decodeHeader(b []byte) (header, bool) {
	if len(b) < headerBytes || binary.LittleEndian.Uint32(b) != magic ||
		crc32.Checksum(b[:12], castagnoli) != binary.LittleEndian.Uint32(b[12:]) {
		return header{}, false
	}
	return header{
		length: int(binary.LittleEndian.Uint32(b[4:])),
		sum:    binary.LittleEndian.Uint32(b[8:]),
	}, true
}

// decodeRecord reads the record at offset off of a segment. It returns the
// body and the checksum, or errTorn or errDamaged.
func decodeRecord(segment []byte, off int, prev uint32) ([]byte, uint32, error) {
	rest := segment[off:]
	if len(rest) < headerBytes {
		return nil, 0, errTorn
	}
	h, ok := decodeHeader(rest)
	if !ok {
		if headerFollows(rest[1:]) {
			return nil, 0, errDamaged
		}
		return nil, 0, judge(segment, off, len(segment))
	}
	end := headerBytes + h.length + 1
	if len(rest) < end {
		return nil, 0, errTorn
	}
	body := rest[headerBytes : end-1]
	if crc32.Update(prev, castagnoli, body) == h.sum && rest[end-1] == endMark {
		return body, h.sum, nil
	}
	// A record is begun only once the one before is synced, so one that has a
	// successor was whole.
	if _, follows := decodeHeader(rest[end:]); follows {
		return nil, 0, errDamaged
	}
	return nil, 0, judge(segment, off, off+end)
}

// headerFollows reports whether a record header stands anywhere in b.
func headerFollows(b []byte) bool {
	for len(b) >= headerBytes {
		if _, ok := decodeHeader(b); ok {
			return true
		}
		b = b[1:]
	}
	return false
}

// judge tells a torn record from a damaged one. Disks write whole sectors: a
// torn record has one that is still zero.
func judge(segment []byte, from, to int) error {
	for at := from; at < to; {
		end := min((at/sectorBytes+1)*sectorBytes, to)
		if allZero(segment[at:end]) {
			return errTorn
		}
		at = end
	}
	return errDamaged
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}
