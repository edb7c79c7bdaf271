package httphead

import "testing"

func TestParseField(t *testing.T) {
	for line, want := range map[string][2]string{
		"Name: value":                            {"Name", "value"},
		"Name:value":                             {"Name", "value"},
		"Name:":                                  {"Name", ""},
		"Name: \t a\tb \t ":                      {"Name", "a\tb"},
		"n!#$%&'*+-.^_`|~9: a:b\"(),/;<=>?@[]{}": {"n!#$%&'*+-.^_`|~9", "a:b\"(),/;<=>?@[]{}"},
		"Name: caf\xe9 \xc3\xa9":                 {"Name", "caf\xe9 \xc3\xa9"},
	} {
		if name, value, err := ParseField(line); err != nil || name != want[0] || value != want[1] {
			t.Errorf("%q: got %q, %q, %v", line, name, value, err)
		}
	}
	for _, line := range []string{
		"", "Name", ": value", "Name : value", "Na me: value", " Name: value", "\tName: value", "Na\x01me: value", "Na\tme: value",
		"Na\xe9me: value", "Name\x7f: value", "Name: a\x00b", "Name: a\rb", "Name: a\r", "Name: a\x7f", "Name: a\nb", "(Name): value",
	} {
		if name, value, err := ParseField(line); err == nil {
			t.Errorf("%q: got %q, %q", line, name, value)
		}
	}
}

func TestTrimLineEnd(t *testing.T) {
	for line, want := range map[string]string{"a\r\n": "a", "a\n": "a", "a": "a", "a\r\r\n": "a\r", "\r\n": "", "\n": "", "a\n\n": "a\n"} {
		if got := TrimLineEnd(line); got != want {
			t.Errorf("%q: got %q, want %q", line, got, want)
		}
	}
}
