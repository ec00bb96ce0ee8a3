package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// readChunks reads a body in chunks that arrives byte by byte, or at once.
func readChunks(body string, singly bool) (string, error) {
	var r io.Reader = strings.NewReader(body)
	if singly {
		r = iotest.OneByteReader(r)
	}
	got, err := io.ReadAll(&chunkReader{reader: bufio.NewReader(r)})
	return string(got), err
}

// Guards against bodies in chunks that are read as other ones, and against broken ones that look whole.
func TestChunksAreRead(t *testing.T) {
	for body, want := range map[string]string{
		"5\r\nhello\r\n0\r\n": "hello",
		"5;name=value\r\nhello\r\n1 \r\n!\r\n000\r\nX: trailer\r\n": "hello!",
		"A\r\n0123456789\r\n0;last\r\n\r\nmore":                     "0123456789",
	} {
		for _, singly := range []bool{true, false} {
			got, err := readChunks(body, singly)
			require.NoError(t, err, body)
			require.Equal(t, want, got)
		}
	}
	for _, body := range []string{
		"", "5", "5\r\n", "5\r\nhel", "5\r\nhello", "5\r\nhello\r\n", "5\r\nhello\r\n0", "5\nhello\r\n0\r\n", "5\r\nhello0\r\n",
		"\r\n", "x\r\n", "-1\r\n", "+5\r\nhello\r\n0\r\n", "0x5\r\nhello\r\n0\r\n", "5_0\r\n", "8000000000000000\r\n",
		";\r\n0\r\n", "1;" + strings.Repeat("a", 5000) + "\r\nx\r\n0\r\n",
	} {
		_, err := readChunks(body, false)
		require.Error(t, err, "%.40q", body)
	}
}

// Guards against extensions that bring a body no further.
func TestChunkOverheadIsBounded(t *testing.T) {
	body := strings.Repeat("1;"+strings.Repeat("a", 1000)+"\r\nx\r\n", 40) + "0\r\n"
	_, err := readChunks(body, false)
	require.ErrorIs(t, err, errChunkOverhead)
	_, err = readChunks(strings.Repeat("1\r\nx\r\n", 100_000)+"0\r\n", false)
	require.NoError(t, err, "single bytes")
}

// Guards against reading other content than the standard library does.
func FuzzChunks(f *testing.F) {
	f.Add([]byte("5;a\r\nhello\r\n0\r\n"))
	f.Add([]byte("a\r\n0123456789\r\n1\r\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		got, err := io.ReadAll(&chunkReader{reader: bufio.NewReader(bytes.NewReader(body))})
		if err != nil {
			return
		}
		want, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(body)))
		require.NoError(t, err)
		require.Equal(t, string(want), string(got))
	})
}
