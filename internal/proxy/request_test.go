package proxy

import (
	"bufio"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// The configuration's limit is on the first line and the headers as the caller wrote
// them: one byte off would refuse a caller that keeps to it.
func TestHeaderBytesAreThoseOfTheCaller(t *testing.T) {
	const body = "abc"
	head := "POST /review/7?draft=1 HTTP/1.1\r\nHost: h.example\r\nX-Own:  spaced \r\nContent-Length: 3\r\n\r\n"
	var r fasthttp.Request
	require.NoError(t, r.Read(bufio.NewReader(strings.NewReader(head+body))))
	require.Equal(t, len(head), headerBytes(&r.Header))
	require.Len(t, r.Body(), len(body))
}
