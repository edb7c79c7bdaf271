package planner

import "math/bits"

const wordBits = 64

// Bits is a set of chunk indexes.
type Bits []uint64

// NewBits returns an empty set for n chunks.
func NewBits(n int) Bits {
	return make(Bits, (n+wordBits-1)/wordBits)
}

// Set adds i.
func (b Bits) Set(i int) { b[i/wordBits] |= 1 << (i % wordBits) }

// Clear removes i.
func (b Bits) Clear(i int) { b[i/wordBits] &^= 1 << (i % wordBits) }

// Has reports whether i is in the set. It returns false for an index past the
// end.
func (b Bits) Has(i int) bool {
	return i/wordBits < len(b) && b[i/wordBits]&(1<<(i%wordBits)) != 0
}

// Count returns the number of indexes in the set.
func (b Bits) Count() int {
	n := 0
	for _, w := range b {
		n += bits.OnesCount64(w)
	}
	return n
}

// First returns the lowest index in the set, or -1.
func (b Bits) First() int {
	for w, word := range b {
		if word != 0 {
			return w*wordBits + bits.TrailingZeros64(word)
		}
	}
	return -1
}

func (b Bits) empty() bool {
	for _, w := range b {
		if w != 0 {
			return false
		}
	}
	return true
}

// Clone returns a copy.
func (b Bits) Clone() Bits {
	return append(Bits(nil), b...)
}

// Bytes encodes the set in little-endian words.
func (b Bits) Bytes() []byte {
	out := make([]byte, 0, len(b)*8)
	for _, w := range b {
		for i := range 8 {
			out = append(out, byte(w>>(8*i)))
		}
	}
	return out
}

// BitsFrom decodes the output of Bytes into a set for n chunks. Indexes past n
// are ignored and missing bytes read as zero.
func BitsFrom(data []byte, n int) Bits {
	b := NewBits(n)
	for i := range min(n, len(data)*8) {
		if data[i/8]&(1<<(i%8)) != 0 {
			b.Set(i)
		}
	}
	return b
}

// each calls f for every index of the set in ascending order.
func (b Bits) each(f func(i int)) {
	for w, word := range b {
		for word != 0 {
			f(w*wordBits + bits.TrailingZeros64(word))
			word &= word - 1
		}
	}
}
