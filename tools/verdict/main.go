// Command verdict reads the output of `go test -json` and gives the verdict of
// CI: it prints what failed, passes over the tests that KNOWN-RED.txt lists, and
// ends with one line of counts.
//
// It ends with 0 only if every other test and package passed and at least one
// test ran.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

// maxKnown is the largest number of tests that may be passed over.
const maxKnown = 3

// maxLine bounds one line of the test output, in bytes.
const maxLine = 16 << 20

// event is one line of `go test -json`.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// verdict collects the ends of tests and packages.
type verdict struct {
	// known maps a test's name to its line in KNOWN-RED.txt.
	known map[string]string
	// output is what each test, or package under an empty test, printed.
	output map[[2]string]*strings.Builder
	// failed are the tests and packages that failed, in order.
	failed  [][2]string
	passed  int
	skipped int
}

func main() {
	known, err := readKnown(os.Args[1])
	if err == nil {
		v := verdict{known: known, output: make(map[[2]string]*strings.Builder)}
		if err = v.read(os.Stdin); err == nil && v.report(os.Stdout) {
			return
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(1)
}

// readKnown reads lines of the form "test: cause: issue". Empty lines and lines
// that begin with # are left out; a missing file lists nothing.
func readKnown(file string) (map[string]string, error) {
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
	if len(known) > maxKnown {
		return nil, fmt.Errorf("%s: %d tests, expected at most %d", file, len(known), maxKnown)
	}
	return known, nil
}

func (v *verdict) read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			// The go command itself speaks plain text when it cannot run a test.
			fmt.Println(lines.Text())
			continue
		}
		v.take(e)
	}
	return lines.Err()
}

func (v *verdict) take(e event) {
	id := [2]string{e.Package, e.Test}
	switch e.Action {
	case "build-output":
		fmt.Print(e.Output)
	case "output":
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

// report prints the verdict and tells whether it is good.
func (v *verdict) report(w io.Writer) bool {
	failed, passedOver := 0, 0
	for _, id := range v.failed {
		switch {
		case id[1] == "" && v.explained(id[0]):
		case v.isKnown(id[1]):
			passedOver++
		default:
			failed++
			_, _ = fmt.Fprintf(w, "FAILED %s %s\n", id[0], id[1])
			if out := v.output[id]; out != nil {
				_, _ = fmt.Fprint(w, out)
			}
		}
	}
	v.reportKnown(w)
	_, _ = fmt.Fprintf(w, "%d passed, %d failed, %d known red, %d skipped\n", v.passed, failed, passedOver, v.skipped)
	return failed == 0 && v.passed > 0
}

// explained tells whether a package failed because tests of it did. A package
// that failed without one did not build, or died.
func (v *verdict) explained(pkg string) bool {
	return slices.ContainsFunc(v.failed, func(id [2]string) bool { return id[0] == pkg && id[1] != "" })
}

// isKnown tells whether a test is listed, or fails as the parent of a listed one.
func (v *verdict) isKnown(test string) bool {
	for known := range v.known {
		if known == test || test != "" && strings.HasPrefix(known, test+"/") {
			return true
		}
	}
	return false
}

func (v *verdict) reportKnown(w io.Writer) {
	for _, test := range slices.Sorted(maps.Keys(v.known)) {
		state := "passed now: take it off the list"
		if slices.ContainsFunc(v.failed, func(id [2]string) bool { return id[1] == test }) {
			state = "failed"
		}
		_, _ = fmt.Fprintf(w, "KNOWN RED (%s) %s\n", state, v.known[test])
	}
}
