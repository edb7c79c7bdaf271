package httphead

import "testing"

func TestParseStatusLine(t *testing.T) {
	for line, want := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.0 404 Not Found": 404, "HTTP/1.1 100 ": 100, "HTTP/1.1 599": 599, "HTTP/1.1 503 caf\xe9\tbusy": 503,
	} {
		if proto, status, err := ParseStatusLine([]byte(line)); err != nil || status != want || proto != line[:8] {
			t.Errorf("%q: got %q, %d, %v", line, proto, status, err)
		}
	}
	for _, line := range []string{
		"", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK", "HTTP/1.1 200\tOK",
		"HTTP/1.1 000 OK", "HTTP/1.1 0 OK", "HTTP/1.1 99 OK", "HTTP/1.1 600 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 +20 OK",
		"HTTP/1.1 -20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 00200 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 0x1 OK", "HTTP/1.1 2_0 OK",
		"HTTP/1.x 200 OK", "HTTP/1.12 200 OK", "HTTP/1. 200 OK", "HTTP/2.0 200 OK", "HTTP/01.1 200 OK", "http/1.1 200 OK", "ICY 200 OK",
		"HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 OK\r", "HTTP/1.1 200 O\x7fK",
	} {
		if proto, status, err := ParseStatusLine([]byte(line)); err == nil {
			t.Errorf("%q: got %q, %d", line, proto, status)
		}
	}
}

func TestParseField(t *testing.T) {
	for line, want := range map[string][2]string{
		"Name: value":                            {"Name", "value"},
		"Name:value":                             {"Name", "value"},
		"Name:":                                  {"Name", ""},
		"Name: \t a\tb \t ":                      {"Name", "a\tb"},
		"n!#$%&'*+-.^_`|~9: a:b\"(),/;<=>?@[]{}": {"n!#$%&'*+-.^_`|~9", "a:b\"(),/;<=>?@[]{}"},
		"Name: caf\xe9 \xc3\xa9":                 {"Name", "caf\xe9 \xc3\xa9"},
	} {
		if name, value, err := ParseField([]byte(line)); err != nil || string(name) != want[0] || string(value) != want[1] {
			t.Errorf("%q: got %q, %q, %v", line, name, value, err)
		}
	}
	for _, line := range []string{
		"", "Name", ": value", "Name : value", "Na me: value", " Name: value", "\tName: value", "Na\x01me: value", "Na\tme: value",
		"Na\xe9me: value", "Name\x7f: value", "Name: a\x00b", "Name: a\rb", "Name: a\r", "Name: a\x7f", "Name: a\nb", "(Name): value",
	} {
		if name, value, err := ParseField([]byte(line)); err == nil {
			t.Errorf("%q: got %q, %q", line, name, value)
		}
	}
}

func TestParseLength(t *testing.T) {
	for value, want := range map[string]int64{"0": 0, "640": 640, "007": 7, "9223372036854775807": 1<<63 - 1} {
		if n, err := ParseLength([]string{value}); err != nil || n != want {
			t.Errorf("%q: got %d, %v", value, n, err)
		}
	}
	for _, values := range [][]string{{""}, {"+640"}, {"-0"}, {"-1"}, {"6 4"}, {"6,6"}, {"6, 6"}, {"0x6"}, {"6a"}, {"1_0"}, {"9223372036854775808"}, {"6", "6"}, nil} {
		if n, err := ParseLength(values); err == nil {
			t.Errorf("%q: got %d", values, n)
		}
	}
}

func TestTrimLineEnd(t *testing.T) {
	for line, want := range map[string]string{"a\r\n": "a", "a\n": "a", "a": "a", "a\r\r\n": "a\r", "\r\n": "", "\n": "", "a\n\n": "a\n"} {
		if got := string(TrimLineEnd([]byte(line))); got != want {
			t.Errorf("%q: got %q, want %q", line, got, want)
		}
	}
}

func TestBeginsResponse(t *testing.T) {
	for after, want := range map[string]bool{"": true, "H": true, "HTTP/1.": true, "HTTP/1.1 200 OK\r\n": true, "h": false, "HTTP/2": false, "\r\n": false, "HTTX/1.1 ": false} {
		if got := BeginsResponse([]byte(after)); got != want {
			t.Errorf("%q: got %v", after, got)
		}
	}
}
