package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/test/heads"
)

// Guards against a request that is sent to another process, because a report whose head breaks the protocol named the expected one.
func TestProcessCheckRejectsBrokenHeads(t *testing.T) {
	t.Parallel()
	for _, h := range heads.Broken() {
		t.Run(h.Name, func(t *testing.T) {
			t.Parallel()
			for _, status := range []string{"200 OK", "404 Not Found"} {
				b := heads.StartServer(t, h.Text("HTTP/1.1 "+status, "", "7"))
				c, _ := checkedCall(t, http.NotFound)
				raw, err := net.Dial("tcp", b.Address)
				require.NoError(t, err)
				conn := &backendConn{Conn: raw, now: time.Now, openedAt: time.Now()}
				require.ErrorIs(t, c.checkProcess(conn), errMalformed)
				require.False(t, c.processCertain)
				require.NoError(t, raw.Close())
			}
		})
	}
}

// Guards against refusing a report because its head is unusual.
func TestProcessCheckAcceptsUnusualHeads(t *testing.T) {
	t.Parallel()
	for _, h := range heads.Unusual() {
		t.Run(h.Name, func(t *testing.T) {
			t.Parallel()
			b := heads.StartServer(t, h.Text(statusLineOK, keepAliveField, "7"))
			c, _ := checkedCall(t, http.NotFound)
			raw, err := net.Dial("tcp", b.Address)
			require.NoError(t, err)
			t.Cleanup(func() { _ = raw.Close() })
			require.NoError(t, c.checkProcess(&backendConn{Conn: raw, now: time.Now, openedAt: time.Now()}))
			require.True(t, c.processCertain)
		})
	}
}

const (
	statusLineOK = "HTTP/1.1 200 OK"
	// keepAliveField lets a connection be used again also by other versions.
	keepAliveField = "Connection: keep-alive\r\n"
)
