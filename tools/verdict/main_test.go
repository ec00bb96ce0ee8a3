package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const testEvents = `{"Action":"pass","Package":"p","Test":"TestA"}
{"Action":"pass","Package":"p"}
{"Action":"output","Package":"q","Test":"TestB/one","Output":"said\n"}
{"Action":"fail","Package":"q","Test":"TestB/one"}
{"Action":"fail","Package":"q","Test":"TestB"}
{"Action":"fail","Package":"q"}
`

func evaluate(t *testing.T, known, stream string) (bool, string) {
	t.Helper()
	passed, out, _ := evaluateStream(t, known, stream)
	return passed, out
}

func evaluateStream(t *testing.T, known, stream string) (bool, string, verdict) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	require.NoError(t, os.WriteFile(file, []byte(known), 0o600))
	list, err := readKnownRed(file)
	require.NoError(t, err)
	v := newVerdict(list)
	require.NoError(t, v.read(strings.NewReader(stream)))
	var out strings.Builder
	passed := v.report(&out)
	return passed, out.String(), v
}

// Guards against a failure that shows once and whose test and output are lost.
func TestFailuresAreKept(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "failures")
	_, _, v := evaluateStream(t, "TestB: listed: issue 7\n", testEvents)
	require.NoError(t, v.keepFailures(dir))
	files, err := filepath.Glob(filepath.Join(dir, "*.txt"))
	require.NoError(t, err)
	require.Len(t, files, 1)
	kept, err := os.ReadFile(files[0])
	require.NoError(t, err)
	require.Contains(t, string(kept), "FAILED q TestB/one\nsaid\n")
}

func TestVerdict(t *testing.T) {
	passed, out := evaluate(t, "", testEvents)
	require.False(t, passed)
	require.Contains(t, out, "FAILED q TestB/one\nsaid\n")
	require.Contains(t, out, "1 passed, 2 failed, 0 known red, 0 skipped\n")

	passed, out = evaluate(t, "TestB/one: flaky clock: issue 7\n", testEvents)
	require.True(t, passed)
	require.Contains(t, out, "KNOWN RED (failed) TestB/one: flaky clock: issue 7\n1 passed, 0 failed, 2 known red, 0 skipped\n")

	passed, _ = evaluate(t, "TestB: all of it: issue 7\n", testEvents)
	require.True(t, passed, "a listed test includes its subtests")
	passed, _ = evaluate(t, "Test: other: issue 8\n", testEvents)
	require.False(t, passed, "a common prefix is not enough")

	passed, _ = evaluate(t, "TestC: other: issue 8", testEvents)
	require.False(t, passed, "only failures of listed tests are ignored")

	passed, out = evaluate(t, "TestA: mended: issue 9", `{"Action":"pass","Package":"p","Test":"TestA"}`)
	require.True(t, passed)
	require.Contains(t, out, "KNOWN RED (passed now: take it off the list) TestA")
}

// Guards against a pass when a package crashes or does not build. No test of it fails, so a
// count of failed tests alone would be zero.
func TestPackageFailureWithoutFailedTest(t *testing.T) {
	passed, out := evaluate(t, "", `{"Action":"pass","Package":"p","Test":"TestA"}`+"\n"+`{"Action":"fail","Package":"q"}`)
	require.False(t, passed)
	require.Contains(t, out, "1 passed, 1 failed")
	passed, _ = evaluate(t, "", "")
	require.False(t, passed, "no test ran")
}

// Guards against a pass of a run that was ended before all packages were tested.
func TestPackageWithoutEndFails(t *testing.T) {
	passed, out := evaluate(t, "", `{"Action":"start","Package":"p"}`+"\n"+`{"Action":"pass","Package":"p","Test":"TestA"}`)
	require.False(t, passed)
	require.Contains(t, out, "FAILED p")
}

func TestKnownRedListIsValidated(t *testing.T) {
	file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	require.NoError(t, os.WriteFile(file, []byte("A: c: 1\nB: c: 1\nC: c: 1\nD: c: 1\n"), 0o600))
	_, err := readKnownRed(file)
	require.ErrorContains(t, err, "4 tests, expected at most 3")
	require.NoError(t, os.WriteFile(file, []byte("A without cause\n"), 0o600))
	_, err = readKnownRed(file)
	require.ErrorContains(t, err, "expected \"test: cause: issue\"")
}
