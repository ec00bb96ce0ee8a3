package jsonc_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/jsonc"
)

type inner struct {
	Name  string   `json:"name"`
	Needs []string `json:"needs"`
}

type outer struct {
	Count int             `json:"count"`
	Size  uint8           `json:"size"`
	Share float64         `json:"share"`
	On    bool            `json:"on"`
	Wait  config.Duration `json:"wait"`
	Parts []inner         `json:"parts"`
}

func TestDecode(t *testing.T) {
	d, err := jsonc.Parse("f", []byte(`{
		// A comment with [brackets and "quotes.
		"count": -3, "size": 200, "share": 0.5, "on": true, "wait": "2s",
		"parts": [{"name": "a", "needs": ["b", "c"],},],
	}`))
	require.NoError(t, err)
	var o outer
	d.Decode(&o)
	require.NoError(t, d.Err())
	require.Equal(t, outer{
		Count: -3, Size: 200, Share: 0.5, On: true, Wait: config.Duration(2 * time.Second),
		Parts: []inner{{Name: "a", Needs: []string{"b", "c"}}},
	}, o)
}

// TestReportsAllFindingsInOrder checks that all findings are reported together in document order,
// whether the decoder or the caller added them.
func TestReportsAllFindingsInOrder(t *testing.T) {
	d, err := jsonc.Parse("f", []byte(`{
  "count": 1.5,
  "size": 256,
  "share": "half",
  "on": 1,
  "wait": 2,
  "Count": 3,
  "parts": [
    {"name": "a", "needs": null},
    {"name": "a", "name": "b", "needs": ["x"]},
    7
  ],
}`))
	require.NoError(t, err)
	d.Decode(&outer{})
	d.Add("parts[1].needs[0]", "unknown name %q", "x")
	d.Add("parts[1].missing.deeper", "nearest ancestor")
	require.EqualError(t, d.Err(), strings.TrimSpace(`
f:2:12: expected a whole number, found 1.5
f:3:11: expected a whole number not below 0, found 256
f:4:12: expected a number, found text
f:5:9: expected true or false, found a number
f:6:11: duration: expected text such as "30s", found 2
f:7:3: unknown field "Count", expected one of count, size, share, on, wait, parts
f:9:28: expected a list, found null
f:10:5: nearest ancestor
f:10:19: field "name" stands twice, expected once
f:10:42: unknown name "x"
f:11:5: expected an object, found a number
`))
}

func TestSyntax(t *testing.T) {
	for text, want := range map[string]string{
		"":                         "f:1:1: syntax: parsing value: unexpected EOF",
		"{\n  \"a\" 1":             "f:2:7: syntax: invalid character '1' after object name",
		strings.Repeat("[", 1<<20): "f:1:65: nested deeper than 64 levels",
	} {
		_, err := jsonc.Parse("f", []byte(text))
		require.EqualError(t, err, want)
	}
}

func TestFindingsAreLimited(t *testing.T) {
	d, err := jsonc.Parse("f", []byte(`{"parts": [`+strings.Repeat("1,", 1000)+`]}`))
	require.NoError(t, err)
	d.Decode(&outer{})
	var findings jsonc.Findings
	require.ErrorAs(t, d.Err(), &findings)
	require.Len(t, findings, jsonc.MaxFindings+1)
	require.Equal(t, "and 900 more findings", findings[jsonc.MaxFindings].Message)
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"count": 1, "parts": [{"name": "a"}]}`, `{"parts": [[]], "wait": {}}`, `/* x`, `// x`, `"\"`, `{"a":`, "\xff",
		`{"size": 1e400, "count": 99999999999999999999}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := jsonc.Parse("f", text)
		if err != nil {
			return
		}
		d.Decode(&outer{})
		d.Add("parts[0].name", "place")
		line, column := d.Position("parts[0].name")
		require.Positive(t, line)
		require.Positive(t, column)
	})
}
