package backend

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/connection/httphead"
)

// maxPresized bounds the fields for which memory is allocated before they are read.
const maxPresized = 32

// readFields reads the fields of a head and the empty line after them.
func readFields(r *bufio.Reader) (http.Header, error) {
	buffered, _ := r.Peek(r.Buffered())
	lines := min(bytes.Count(buffered, []byte{'\n'}), maxPresized)
	header, values := make(http.Header, lines), make([]string, 0, lines)
	for {
		line, err := readLine(r)
		if err != nil {
			return nil, toUnexpectedEOF(err)
		}
		if len(line) == 0 {
			return header, nil
		}
		name, value, err := httphead.ParseField(line)
		if err != nil {
			return nil, err
		}
		key := textproto.CanonicalMIMEHeaderKey(string(name))
		if header[key] != nil {
			header[key] = append(header[key], string(value))
			continue
		}
		// The slices of single values share an array.
		values = append(values, string(value))
		header[key] = values[len(values)-1 : len(values) : len(values)]
	}
}

// readLine reads a line of any length and returns it without its end. The bytes are valid until
// the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	var long []byte
	for {
		part, err := r.ReadSlice('\n')
		switch {
		case err == nil && long == nil:
			return httphead.TrimLineEnd(part), nil
		case err == nil:
			return httphead.TrimLineEnd(append(long, part...)), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
		long = append(long, part...)
	}
}
