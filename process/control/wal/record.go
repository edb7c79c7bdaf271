package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

const (
	headerBytes = 16
	sectorBytes = 512
	// recordMagic and recordEndMark are not zero, so that neither end of a record
	// is zero unless it was never written.
	recordMagic   = 0x4c575857
	recordEndMark = 0xa5
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	// errTornRecord marks a record that was only partly written before a crash.
	errTornRecord = errors.New("torn record")
	// errDamagedRecord marks a record that was completely written and was
	// damaged later.
	errDamagedRecord = errors.New("damaged record")
)

// encodeRecord returns the record for a body and its checksum, which seeds that
// of the next record.
func encodeRecord(prev uint32, body []byte) ([]byte, uint32) {
	sum := crc32.Update(prev, castagnoli, body)
	rec := make([]byte, headerBytes, recordBytes(body))
	binary.LittleEndian.PutUint32(rec[0:], recordMagic)
	binary.LittleEndian.PutUint32(rec[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(rec[8:], sum)
	binary.LittleEndian.PutUint32(rec[12:], crc32.Checksum(rec[:12], castagnoli))
	rec = append(rec, body...)
	return append(rec, recordEndMark), sum
}

// recordBytes returns the size of the record for a body.
func recordBytes(body []byte) int { return headerBytes + len(body) + 1 }

// recordHeader is a decoded record header.
type recordHeader struct {
	length   int
	checksum uint32
}

func decodeHeader(b []byte) (recordHeader, bool) {
	if len(b) < headerBytes || binary.LittleEndian.Uint32(b) != recordMagic ||
		crc32.Checksum(b[:12], castagnoli) != binary.LittleEndian.Uint32(b[12:]) {
		return recordHeader{}, false
	}
	return recordHeader{
		length:   int(binary.LittleEndian.Uint32(b[4:])),
		checksum: binary.LittleEndian.Uint32(b[8:]),
	}, true
}

// decodeRecord decodes the record at offset off of a segment. It returns the
// body and the checksum, or errTornRecord or errDamagedRecord.
func decodeRecord(segment []byte, off int, prev uint32) ([]byte, uint32, error) {
	rest := segment[off:]
	if len(rest) < headerBytes {
		return nil, 0, errTornRecord
	}
	h, ok := decodeHeader(rest)
	if !ok {
		if containsHeader(rest[1:]) {
			return nil, 0, errDamagedRecord
		}
		return nil, 0, classifyDamage(segment, off, len(segment))
	}
	end := headerBytes + h.length + 1
	if len(rest) < end {
		return nil, 0, errTornRecord
	}
	body := rest[headerBytes : end-1]
	if crc32.Update(prev, castagnoli, body) == h.checksum && rest[end-1] == recordEndMark {
		return body, h.checksum, nil
	}
	// A record is written only after the previous one was synced, so a record
	// followed by another one was complete.
	if _, follows := decodeHeader(rest[end:]); follows {
		return nil, 0, errDamagedRecord
	}
	return nil, 0, classifyDamage(segment, off, off+end)
}

// containsHeader reports whether b contains a record header at any offset.
func containsHeader(b []byte) bool {
	for len(b) >= headerBytes {
		if _, ok := decodeHeader(b); ok {
			return true
		}
		b = b[1:]
	}
	return false
}

// classifyDamage distinguishes a torn record from a damaged one. Disks write
// whole sectors, so a torn record has at least one sector that is still zero.
func classifyDamage(segment []byte, from, to int) error {
	for at := from; at < to; {
		end := min((at/sectorBytes+1)*sectorBytes, to)
		if allZero(segment[at:end]) {
			return errTornRecord
		}
		at = end
	}
	return errDamagedRecord
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}
