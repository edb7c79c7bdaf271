package figure

import (
	"strings"
	"testing"
)

func TestPrintWritesOneLine(t *testing.T) {
	var b strings.Builder
	Print(&b, "accept_p99", 12.34567, "ms", "<=250")
	Print(&b, "lost", 0, "count", "")
	want := "figure=accept_p99 value=12.346 unit=ms target=<=250\nfigure=lost value=0 unit=count\n"
	if b.String() != want {
		t.Errorf("got %q, want %q", b.String(), want)
	}
}
