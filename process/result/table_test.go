package result

import (
	"os"
	"testing"
)

func TestDocsPageMatchesTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/result-codes.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Markdown() {
		t.Error("docs/result-codes.md differs from the table; write the output of waxwingpost codes to it")
	}
}

func TestTableIsAscendingAndNamesAreUnique(t *testing.T) {
	names := map[string]bool{}
	for i, e := range Table {
		if i > 0 && Table[i-1].Code >= e.Code {
			t.Errorf("code %d does not follow %d", e.Code, Table[i-1].Code)
		}
		if names[e.Name] {
			t.Errorf("duplicate name %q", e.Name)
		}
		names[e.Name] = true
		if e.Meaning == "" || e.Remedy == "" {
			t.Errorf("code %d has no meaning or remedy", e.Code)
		}
	}
}

func TestCodeOf(t *testing.T) {
	if got := CodeOf(New(NoQuorum, "x")); got != NoQuorum {
		t.Errorf("CodeOf = %d", got)
	}
	if CodeOf(nil) != OK {
		t.Error("CodeOf(nil) is not OK")
	}
}
