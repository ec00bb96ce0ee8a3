package core_test

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

// TestEveryEventRoundTrips decodes and re-encodes a line of each event that event.go
// declares. An event missing from eventTypes can be recorded, and the fault would show only
// when a session file with it is replayed.
func TestEveryEventRoundTrips(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "event.go", nil, 0)
	require.NoError(t, err)
	at := time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok || f.Name.Name != "EventName" {
			continue
		}
		name := f.Body.List[0].(*ast.ReturnStmt).Results[0].(*ast.BasicLit).Value
		line := `{"at":"2026-01-02T03:04:05.000000006Z","event":` + name + `,"data":{}}`
		readAt, event, err := core.DecodeEvent([]byte(line))
		require.NoError(t, err, name)
		require.Equal(t, at, readAt)
		encoded, err := core.EncodeEvent(at, event)
		require.NoError(t, err)
		_, again, err := core.DecodeEvent(encoded)
		require.NoError(t, err)
		require.Equal(t, event, again)
	}
}

func FuzzDecodeEvent(f *testing.F) {
	f.Add([]byte(`{"at":"2026-01-01T00:00:00Z","event":"ticked"}`))
	f.Add([]byte(`{"event":"peer-received","data":{"message":{"digest":{}}}}`))
	f.Add([]byte(`{"event":"attempt-ended","data":{"attempt":1e99}}`))
	f.Add([]byte(`{"event":1}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		at, event, err := core.DecodeEvent(line)
		if err != nil {
			return
		}
		encoded, err := core.EncodeEvent(at, event)
		if err != nil {
			// The time is outside the range of years that JSON can encode.
			var unwritable *json.MarshalerError
			require.ErrorAs(t, err, &unwritable)
			return
		}
		_, again, err := core.DecodeEvent(encoded)
		require.NoError(t, err)
		require.IsType(t, event, again)
	})
}
