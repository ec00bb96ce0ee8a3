package proxy_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// Guards against the delivery of an abandoned request. A zone is cut off silently while a
// request is in flight, and its caller disconnects. After an orderly close the kernel
// keeps the request's bytes and delivers them once the cut heals, ten seconds later. The
// connection must therefore be reset, which discards the bytes that were not received.
func TestAbandonedRequestIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	arrived := make(chan struct{})
	ended := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		close(arrived)
		for err == nil {
			_, err = in.ReadByte()
		}
		ended <- err
	}()
	i := startInstance(t, fleetConfig([]string{l.Addr().String()}, nil), proxy.Options{})
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-arrived
		leave()
	}()
	_, err = http.DefaultClient.Do(newChat(t, i.url, true, nil).WithContext(ctx))
	require.ErrorIs(t, err, context.Canceled)
	require.ErrorIs(t, <-ended, syscall.ECONNRESET)
}
