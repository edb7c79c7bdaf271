// Command wpci runs the race tests of the whole workspace and judges them:
// any failure fails the run but for the tests that KNOWN-RED.txt names, which
// it prints.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sort"
	"strings"
)

const knownRedFile = "KNOWN-RED.txt"

// event is the part of a test2json event that is used here.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// tally gathers the verdicts of a run.
type tally struct {
	passed  int
	skipped int
	failed  []string
	output  map[string][]string
}

func main() {
	known, err := readKnownRed(knownRedFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	result, runErr := runTests(os.Args[1:])
	os.Exit(report(os.Stdout, result, runErr, known))
}

// readKnownRed returns the "PACKAGE TEST" pairs that the file lists.
func readKnownRed(name string) (map[string]bool, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	known := map[string]bool{}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if test, ok := strings.CutPrefix(lines.Text(), "test: "); ok {
			known[strings.TrimSpace(test)] = true
		}
	}
	return known, lines.Err()
}

func runTests(extra []string) (*tally, error) {
	args := append([]string{"test", "-json", "-race", "-count=1", "-timeout=15m"}, extra...)
	cmd := exec.Command("go", append(args, "work")...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	t := collect(out)
	return t, cmd.Wait()
}

func collect(r io.Reader) *tally {
	t := &tally{output: map[string][]string{}}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			fmt.Fprintln(os.Stderr, lines.Text())
			continue
		}
		t.add(e)
	}
	return t
}

func (t *tally) add(e event) {
	key := strings.TrimSpace(e.Package + " " + e.Test)
	switch e.Action {
	case "output", "build-output":
		t.output[key] = append(t.output[key], e.Output)
	case "pass":
		if e.Test != "" {
			t.passed++
			delete(t.output, key)
			return
		}
		fmt.Fprintln(os.Stdout, "ok   ", e.Package)
	case "skip":
		if e.Test != "" {
			t.skipped++
		}
	case "fail":
		t.failed = append(t.failed, key)
	}
}

// report prints the verdict and returns the exit status.
func report(w io.Writer, t *tally, runErr error, known map[string]bool) int {
	if t == nil {
		fmt.Fprintln(w, "the tests could not be run:", runErr)
		return 2
	}
	sort.Strings(t.failed)
	unexpected, failedTests := 0, 0
	redPackages := map[string]bool{}
	for _, key := range t.failed {
		pkg, test, _ := strings.Cut(key, " ")
		if test == "" {
			continue
		}
		failedTests++
		if known[key] || parentKnown(key, known) {
			redPackages[pkg] = true
			fmt.Fprintln(w, "KNOWN RED", key)
			continue
		}
		unexpected++
		fmt.Fprintf(w, "FAIL %s\n%s", key, strings.Join(t.output[key], ""))
	}
	unexpected += reportPackages(w, t, redPackages)
	for key := range known {
		fmt.Fprintln(w, "listed in", knownRedFile+":", key)
	}
	if runErr != nil && len(t.failed) == 0 {
		fmt.Fprintln(w, "go test failed:", runErr)
		unexpected++
	}
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", t.passed, failedTests, t.skipped)
	if unexpected > 0 {
		return 1
	}
	return 0
}

// reportPackages prints packages that failed outside any test: a build
// failure, a crash or a timeout.
func reportPackages(w io.Writer, t *tally, redPackages map[string]bool) int {
	inTests := map[string]bool{}
	for _, key := range t.failed {
		if pkg, test, _ := strings.Cut(key, " "); test != "" {
			inTests[pkg] = true
		}
	}
	count := 0
	for _, key := range t.failed {
		if strings.Contains(key, " ") || redPackages[key] || inTests[key] {
			continue
		}
		count++
		fmt.Fprintf(w, "FAIL %s\n%s", key, strings.Join(t.output[key], ""))
	}
	return count
}

// parentKnown reports whether key is a test whose subtest is listed or a
// subtest of a listed test.
func parentKnown(key string, known map[string]bool) bool {
	for k := range known {
		if strings.HasPrefix(key, k+"/") || strings.HasPrefix(k, key+"/") {
			return true
		}
	}
	return false
}
