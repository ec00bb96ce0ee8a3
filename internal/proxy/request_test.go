package proxy

import (
	"bufio"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// The configured limit applies to the request line and headers exactly as the caller sent
// them: an error of one byte would refuse a caller that keeps to the limit.
func TestHeaderBytes(t *testing.T) {
	const body = "abc"
	head := "POST /review/7?draft=1 HTTP/1.1\r\nHost: h.example\r\nX-Own:  spaced \r\nContent-Length: 3\r\n\r\n"
	var r fasthttp.Request
	require.NoError(t, r.Read(bufio.NewReader(strings.NewReader(head+body))))
	require.Equal(t, len(head), headerBytes(&r.Header))
	require.Len(t, r.Body(), len(body))
}
