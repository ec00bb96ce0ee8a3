// Command verdict reads the output of `go test -json` and decides whether CI passes:
//
//	go test -json ./... | verdict KNOWN-RED.txt [DIRECTORY]
//
// It prints the failures, ignores failures of the tests that KNOWN-RED.txt lists, and prints
// one line of counts at the end. If a test failed, listed or not, it writes the names and the
// output of all failed tests to a new file in the directory.
//
// It exits with status 0 only if every other test and package passed and at least one test
// passed.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// maxKnownRed is the largest number of tests whose failures may be ignored.
const maxKnownRed = 3

// maxLine is the maximum length of a line of the test output, in bytes.
const maxLine = 16 << 20

// event is one line of `go test -json`.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// verdict collects the results of tests and packages.
type verdict struct {
	// knownRed maps the name of a listed test to its line in KNOWN-RED.txt.
	knownRed map[string]string
	// output holds the output by package and test; the test is empty for the package itself.
	output map[[2]string]*strings.Builder
	// running holds the packages whose tests have started and not ended.
	running map[string]bool
	// failed lists the tests and packages that failed, in order.
	failed  [][2]string
	passed  int
	skipped int
}

func main() {
	passed, err := decide(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || !passed {
		os.Exit(1)
	}
}

// decide reads the test output from the standard input and reports whether CI passes.
func decide(args []string) (passed bool, err error) {
	if len(args) == 0 {
		return false, errors.New("usage: verdict KNOWN-RED.txt [DIRECTORY]")
	}
	known, err := readKnownRed(args[0])
	if err != nil {
		return false, err
	}
	v := newVerdict(known)
	if err := v.read(os.Stdin); err != nil {
		return false, err
	}
	passed = v.report(os.Stdout)
	if len(args) > 1 && len(v.failed) > 0 {
		return passed, v.keepFailures(args[1])
	}
	return passed, nil
}

// readKnownRed reads lines of the form "test: cause: issue". It skips empty lines and lines
// that begin with #. A missing file is an empty list.
func readKnownRed(file string) (map[string]string, error) {
	text, err := os.ReadFile(file)
	if err != nil && !os.IsNotExist(err) {
		return nil, err
	}
	known := make(map[string]string)
	for _, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		test, rest, _ := strings.Cut(line, ":")
		if !strings.Contains(rest, ":") {
			return nil, fmt.Errorf("%s: expected \"test: cause: issue\", found %q", file, line)
		}
		known[strings.TrimSpace(test)] = line
	}
	if len(known) > maxKnownRed {
		return nil, fmt.Errorf("%s: %d tests, expected at most %d", file, len(known), maxKnownRed)
	}
	return known, nil
}

func newVerdict(known map[string]string) verdict {
	return verdict{knownRed: known, output: make(map[[2]string]*strings.Builder), running: make(map[string]bool)}
}

// read reads the events. A package without an end counts as failed: go test itself was ended.
func (v *verdict) read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			// The go command prints plain text when it cannot run a test.
			fmt.Println(lines.Text())
			continue
		}
		v.record(e)
	}
	for _, pkg := range slices.Sorted(maps.Keys(v.running)) {
		v.failed = append(v.failed, [2]string{pkg, ""})
	}
	return lines.Err()
}

func (v *verdict) record(e event) {
	id := [2]string{e.Package, e.Test}
	if e.Test == "" && (e.Action == "pass" || e.Action == "fail" || e.Action == "skip") {
		delete(v.running, e.Package)
	}
	switch e.Action {
	case "start":
		v.running[e.Package] = true
	case "build-output":
		fmt.Print(e.Output)
	case "output":
		if e.Test == "" && strings.HasPrefix(e.Output, "ok") {
			fmt.Print(e.Output)
		}
		if v.output[id] == nil {
			v.output[id] = new(strings.Builder)
		}
		v.output[id].WriteString(e.Output)
	case "fail":
		v.failed = append(v.failed, id)
	case "pass":
		if e.Test != "" {
			v.passed++
		}
	case "skip":
		if e.Test != "" {
			v.skipped++
		}
	}
}

// report prints the results and reports whether CI passes.
func (v *verdict) report(w io.Writer) bool {
	failed, ignored := 0, 0
	for _, id := range v.failed {
		switch {
		case id[1] == "" && v.hasFailedTest(id[0]):
		case v.isKnownRed(id[1]):
			ignored++
		default:
			failed++
			v.printFailure(w, id)
		}
	}
	v.reportKnownRed(w)
	_, _ = fmt.Fprintf(w, "%d passed, %d failed, %d known red, %d skipped\n", v.passed, failed, ignored, v.skipped)
	return failed == 0 && v.passed > 0
}

// printFailure prints the name and the output of a test that failed, or of a package.
func (v *verdict) printFailure(w io.Writer, id [2]string) {
	_, _ = fmt.Fprintf(w, "FAILED %s %s\n", id[0], id[1])
	if out := v.output[id]; out != nil {
		_, _ = fmt.Fprint(w, out)
	}
}

// keepFailures writes the names and the output of all failed tests to a new file in a directory. A
// failure that shows once could not be traced without them.
func (v *verdict) keepFailures(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var text strings.Builder
	for _, id := range v.failed {
		v.printFailure(&text, id)
	}
	name := fmt.Sprintf("%s-%d.txt", time.Now().UTC().Format("20060102T150405"), os.Getpid())
	file := filepath.Join(dir, name)
	if err := os.WriteFile(file, []byte(text.String()), 0o644); err != nil {
		return err
	}
	fmt.Printf("names and output of the failed tests: %s\n", file)
	return nil
}

// hasFailedTest reports whether a test of the package failed. A package that failed without a
// failed test did not build or crashed.
func (v *verdict) hasFailedTest(pkg string) bool {
	return slices.ContainsFunc(v.failed, func(id [2]string) bool { return id[0] == pkg && id[1] != "" })
}

// isKnownRed reports whether a test is listed, or is the parent or a subtest of a listed test.
func (v *verdict) isKnownRed(test string) bool {
	for known := range v.knownRed {
		subtest := strings.HasPrefix(test, known+"/")
		parent := test != "" && strings.HasPrefix(known, test+"/")
		if known == test || subtest || parent {
			return true
		}
	}
	return false
}

// reportKnownRed prints the listed tests and whether they failed.
func (v *verdict) reportKnownRed(w io.Writer) {
	for _, test := range slices.Sorted(maps.Keys(v.knownRed)) {
		state := "passed now: take it off the list"
		if slices.ContainsFunc(v.failed, func(id [2]string) bool { return id[1] == test }) {
			state = "failed"
		}
		_, _ = fmt.Fprintf(w, "KNOWN RED (%s) %s\n", state, v.knownRed[test])
	}
}
