// Package httphead parses the lines of HTTP/1 response heads, and checks what is written into
// request heads, as strictly as RFC 9112 defines them. A line that is almost a field may be the one that frames the body: a parser that
// ignores it, or takes it for another field, takes a part of the body for the whole.
package httphead

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Versions of HTTP.
const (
	HTTP10 = "HTTP/1.0"
	HTTP11 = "HTTP/1.1"
)

const statusDigits = 3

// TrimLineEnd removes the LF that ends a line and a CR before it.
func TrimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
}

// ParseStatusLine returns the version and the status of a status line without its line end.
// The reason may be missing, with the blank before it.
func ParseStatusLine(line []byte) (proto string, status int, err error) {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	code, reason, _ := bytes.Cut(rest, []byte{' '})
	switch string(version) {
	case HTTP10:
		proto = HTTP10
	case HTTP11:
		proto = HTTP11
	}
	n, err := strconv.ParseUint(string(code), 10, 16)
	if proto == "" || err != nil || len(code) != statusDigits || n < 100 || n > 599 || !IsText(reason) {
		return "", 0, errors.Newf("invalid status line %.60q", line)
	}
	return proto, int(n), nil
}

// ParseField returns the name and the value of a field line without its line end. A folded
// line is no field.
func ParseField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !IsToken(name) || !IsText(value) {
		return nil, nil, errors.Newf("invalid field line %.60q", line)
	}
	return name, bytes.Trim(value, " \t"), nil
}

// ParseLength returns the length that the values of Content-Length state. Several values are an
// error, even if they are equal.
func ParseLength(values []string) (int64, error) {
	if len(values) == 1 && strings.Trim(values[0], "0123456789") == "" {
		if n, err := strconv.ParseInt(values[0], 10, 64); err == nil {
			return n, nil
		}
	}
	return 0, errors.Newf("invalid content length %.60q", values)
}

// BeginsResponse reports whether bytes after the body of a response may begin another one, which
// some servers send. Other bytes belong to the body, so that its stated length is wrong.
func BeginsResponse(after []byte) bool {
	const start = "HTTP/1."
	return string(after[:min(len(after), len(start))]) == start[:min(len(after), len(start))]
}

// ErrLongerBody is the error of a body that continues after its stated length.
var ErrLongerBody = errors.New("the body continues after its stated length")

// IsDelimited reports whether the end of a response body can be distinguished from a broken
// connection.
func IsDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || resp.ProtoMajor >= 2 || len(resp.TransferEncoding) > 0
}

// IsToken reports whether s is a token of RFC 9110, section 5.6.2.
func IsToken[T ~string | ~[]byte](s T) bool {
	for i := range len(s) {
		if !tokenChars[s[i]] {
			return false
		}
	}
	return len(s) > 0
}

var tokenChars = func() (chars [256]bool) {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789" + letters + strings.ToUpper(letters)) {
		chars[c] = true
	}
	return chars
}()

// IsText reports whether s contains no control character except tabs.
func IsText[T ~string | ~[]byte](s T) bool {
	for i := range len(s) {
		if isControl(s[i]) && s[i] != '\t' {
			return false
		}
	}
	return true
}

// IsFieldValue reports whether s is a field value of RFC 9110, section 5.5, which a recipient
// reads back unchanged: recipients remove blanks at either end.
func IsFieldValue(s string) bool {
	return IsText(s) && strings.Trim(s, " \t") == s
}

// IsUnbroken reports whether s is not empty and contains no blank or control character, so that
// it is one part of a request line.
func IsUnbroken(s string) bool {
	for i := range len(s) {
		if isControl(s[i]) || s[i] == ' ' {
			return false
		}
	}
	return s != ""
}

func isControl(c byte) bool { return c < ' ' || c == 0x7f }
