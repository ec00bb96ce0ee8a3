package admin_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/admin"
	"github.com/ebonydyke/ebonydyke/internal/metrics"
)

// listenAndServe serves on a free port and returns its address.
func listenAndServe(t *testing.T, server *http.Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// Guards against connections that are held for good by requests without end, and against failing probes beside them.
func TestEndlessRequestsAreClosed(t *testing.T) {
	t.Parallel()
	// limit is the time for reading a request and for writing its response, with a margin.
	const limit = 2*10*time.Second + time.Second
	full := listenAndServe(t, admin.NewServer(&fakeInstance{ready: true, drained: make(chan struct{}, 64)}, metrics.New().Gatherer()))
	ready := listenAndServe(t, admin.NewReadyServer(&fakeInstance{ready: true}))
	head := "GET /readyz HTTP/1.1\r\nHost: x\r\n"
	for name, request := range map[string][2]string{
		"garbage":          {"", "\x00\x01garbage"},
		"empty lines":      {"", "\r\n"},
		"request line":     {"GET /", "path"},
		"header fields":    {head, "X-Field: value\r\n"},
		"one header field": {head + "X-Field: ", "value"},
		"body":             {head + "Content-Length: 1000000000\r\n\r\n", "x"},
		"chunk size":       {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":  {head + "Transfer-Encoding: chunked\r\n\r\n1;", "extension"},
		"chunks":           {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"trailers":         {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"},
	} {
		for pace, interval := range map[string]time.Duration{"fast": 0, "slow": 100 * time.Millisecond} {
			for _, address := range []string{full, ready} {
				t.Run(pace+"/"+name, func(t *testing.T) {
					t.Parallel()
					conn, err := net.Dial("tcp", address)
					require.NoError(t, err)
					t.Cleanup(func() { _ = conn.Close() })
					begun := time.Now()
					require.NoError(t, conn.SetDeadline(begun.Add(2*limit)))
					go func() { _, _ = io.Copy(io.Discard, conn) }()
					_, err = io.WriteString(conn, request[0])
					piece := request[1]
					if interval == 0 {
						piece = strings.Repeat(piece, 1+4096/len(piece))
					}
					for err == nil {
						time.Sleep(interval)
						_, err = io.WriteString(conn, piece)
					}
					require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
					require.Less(t, time.Since(begun), limit)
				})
			}
		}
	}
	t.Run("probes", func(t *testing.T) {
		t.Parallel()
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			for _, address := range []string{full, ready} {
				requireReady(t, address)
			}
		}
	})
}

func requireReady(t *testing.T, address string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
}
