package reason_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// TestReasonsAreListedAndDocumented compares the declared reasons with the list for the
// metrics and with the table for operators.
func TestReasonsAreListedAndDocumented(t *testing.T) {
	var all []string
	for _, r := range reason.All {
		all = append(all, string(r))
	}
	require.Equal(t, declaredReasons(t), all)

	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	require.NoError(t, err)
	_, table, found := bytes.Cut(page, []byte("\n## Reasons\n"))
	require.True(t, found)
	var documented []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\|").FindAllSubmatch(table, -1) {
		documented = append(documented, string(row[1]))
	}
	require.Equal(t, all, documented)
}

// declaredReasons returns the values of the constants of type Reason in the source, except
// None.
func declaredReasons(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "reason.go", nil, 0)
	require.NoError(t, err)
	var words []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) == 0 {
			return true
		}
		if typ, ok := spec.Type.(*ast.Ident); !ok || typ.Name != "Reason" {
			return true
		}
		word, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		require.NoError(t, err)
		if word != "" {
			words = append(words, word)
		}
		return true
	})
	return words
}
