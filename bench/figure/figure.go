// Package figure prints measured values as lines for people and scripts.
package figure

import (
	"fmt"
	"io"
	"strconv"
	"sync"
)

// mu prevents the lines of concurrent callers from being interleaved.
var mu sync.Mutex

// Print writes one line "figure=NAME value=X unit=U". A target such as "<=250" or
// ">=5" is appended as "target=T"; an empty target is omitted.
func Print(w io.Writer, name string, value float64, unit, target string) {
	mu.Lock()
	defer mu.Unlock()
	_, _ = io.WriteString(w, Line(name, value, unit, target))
}

// Line returns the line that Print writes, including the newline.
func Line(name string, value float64, unit, target string) string {
	text := strconv.FormatFloat(value, 'f', -1, 64)
	if value != float64(int64(value)) {
		text = strconv.FormatFloat(value, 'f', 3, 64)
	}
	line := fmt.Sprintf("figure=%s value=%s unit=%s", name, text, unit)
	if target != "" {
		line += " target=" + target
	}
	return line + "\n"
}
