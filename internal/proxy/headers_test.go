package proxy_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHeadersAreDocumented checks that docs/INTERFACES.md mentions each declared header.
func TestHeadersAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/INTERFACES.md")
	require.NoError(t, err)
	file, err := parser.ParseFile(token.NewFileSet(), "headers.go", nil, 0)
	require.NoError(t, err)
	found := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, "Header") {
			return true
		}
		header, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		require.NoError(t, err)
		require.Contains(t, string(page), "`"+header+"`")
		found++
		return true
	})
	require.NotZero(t, found)
}
