package intake

import "bytes"

// scanner finds the end of a header section in the bytes of a connection, in any split
// into reads, and counts its lines. Like net/textproto it takes a line feed for the end of
// a line, drops one carriage return before it, and an empty line for the end of the section.
// The zero value begins at a request line.
type scanner struct {
	// size and lines count the bytes and the complete lines of the section.
	size, lines int
	// length is the length of the current line, up to 2, and onlyCR is set if that is one
	// carriage return.
	length int
	onlyCR bool
	done   bool
}

// scan reads bytes and returns how many of them belong to the section.
func (s *scanner) scan(p []byte) int {
	rest := p
	for len(rest) > 0 && !s.done {
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			s.add(rest)
			s.size += len(rest)
			return len(p)
		}
		s.add(rest[:end])
		empty := s.length == 0 || s.onlyCR
		// The request line is never empty: net/http refuses such a request.
		s.done = empty && s.lines > 0
		s.lines++
		s.size += end + 1
		s.length, s.onlyCR = 0, false
		rest = rest[end+1:]
	}
	return len(p) - len(rest)
}

// add extends the current line.
func (s *scanner) add(part []byte) {
	if len(part) == 0 {
		return
	}
	s.onlyCR = s.length == 0 && len(part) == 1 && part[0] == '\r'
	s.length = min(2, s.length+len(part))
}
