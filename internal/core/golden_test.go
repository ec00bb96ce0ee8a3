package core_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

var updateGolden = flag.Bool("rewrite", false, "rewrite the golden files with the current output")

// TestGoldenSessions replays each session file under testdata and compares the effects. The
// first line holds the node's settings, lines with "event" are its input, and lines with
// "effect" are the expected output.
func TestGoldenSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			want, err := os.ReadFile(file)
			require.NoError(t, err)
			got := replaySession(t, want)
			if *updateGolden {
				require.NoError(t, os.WriteFile(file, got, 0o644))
			}
			require.Equal(t, string(want), string(got))
		})
	}
}

// replaySession replays a session's events on a new node and returns the session with the
// resulting effects. Lines that begin with # are comments.
func replaySession(t *testing.T, session []byte) []byte {
	t.Helper()
	var node *core.Node
	var out bytes.Buffer
	lines := bufio.NewScanner(bytes.NewReader(session))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		text := lines.Text()
		switch {
		case strings.HasPrefix(text, "#"):
			out.WriteString(text + "\n")
		case node == nil:
			var s core.Settings
			require.NoError(t, json.Unmarshal([]byte(text), &s))
			node = core.New(s)
			out.WriteString(text + "\n")
		case strings.HasPrefix(text, `{"effect"`):
		default:
			out.WriteString(text + "\n")
			at, event, err := core.DecodeEvent([]byte(text))
			require.NoError(t, err, text)
			for _, effect := range node.Handle(at, event) {
				line, err := core.EncodeEffect(effect)
				require.NoError(t, err)
				out.Write(append(line, '\n'))
			}
		}
	}
	require.NoError(t, lines.Err())
	return out.Bytes()
}
