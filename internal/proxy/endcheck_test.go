package proxy

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

// Guards against blaming a request for the end of a server that only closed a connection, lost
// a response or stopped reading, and against missing the end of one.
func TestServerEndIsToldFromOtherFailures(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	alive := listener.Addr().String()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := gone.Addr().String()
	require.NoError(t, gone.Close())

	dials := 0
	c := endChecker{countDial: func(DialReason) { dials++ }, connect: connectOnce}
	check := func(address string, err error) bool {
		return closedByPeer(err) && c.check(&core.SendAttempt{Address: address}).ended()
	}
	for _, err := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errUnframed, errNoEndMark} {
		err = fmt.Errorf("proxy: read response: %w", err)
		require.True(t, check(ended, err), "%v", err)
		require.False(t, check(alive, err), "%v", err)
	}
	for _, err := range []error{os.ErrDeadlineExceeded, errSuperseded, errCallCancelled, net.ErrClosed, errMismatched, errBackendFailure} {
		require.False(t, check(ended, err), "%v", err)
	}
	require.Equal(t, 12, dials, "only connections that the other end closed are checked")
	require.NoError(t, listener.Close())
}

// Guards against a part of an unframed response that passes for whole because the machine of its ended server, or this
// one, is busy, and the first checks time out.
func TestUnframedEndIsCheckedUntilKnown(t *testing.T) {
	for refusedAfter, ended := range map[int]bool{0: true, 3: true, unframedEndChecks: false} {
		dials := 0
		c := endChecker{countDial: func(DialReason) { dials++ }, connect: func(string) error {
			if dials > refusedAfter {
				return syscall.ECONNREFUSED
			}
			return os.ErrDeadlineExceeded
		}}
		check := c.checkUnframed(&core.SendAttempt{Address: "10.0.0.1:1"})
		require.Equal(t, ended, check.ended(), "refused after %d checks", refusedAfter)
		require.Equal(t, !ended, check.timedOut)
		require.LessOrEqual(t, dials, unframedEndChecks)
	}
}

// Guards against a part of an unframed response that passes for whole, or an end of a server that is missed, because
// another check connected just before the server ended.
func TestEndIsCheckedAfterTheConnectionEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		c := endChecker{countDial: func(DialReason) { dials++ }, connect: func(string) error {
			hasEnded := dials > 1
			time.Sleep(endCheckTimeout / 2)
			if hasEnded {
				return syscall.ECONNREFUSED
			}
			return nil
		}}
		attempt := &core.SendAttempt{Address: "10.0.0.1:1"}
		first, later := make(chan endCheck, 1), make(chan endCheck, 3)
		go func() { first <- c.check(attempt) }()
		time.Sleep(endCheckTimeout / 4)
		go func() { later <- c.check(attempt) }()
		go func() { later <- c.checkUnframed(attempt) }()
		go func() { later <- c.checkUnframed(attempt) }()
		require.True(t, (<-first).connected)
		for range cap(later) {
			require.True(t, (<-later).ended())
		}
		require.Equal(t, 2, dials, "the later checks share a dial")
	})
}

// Guards against returns of a request that are not recognized because a header differs, and
// against two requests that are taken for one.
func TestContentHash(t *testing.T) {
	hash := func(method, host, target, body, deadline string) uint64 {
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		req.Header.SetMethod(method)
		req.Header.Set("Deadline", deadline)
		req.SetBodyString(body)
		return contentHash(req, &Request{Arrived: core.RequestArrived{Host: host}, Target: target})
	}
	first := hash("POST", "a.example", "/x", "body", "100")
	require.Equal(t, first, hash("POST", "a.example", "/x", "body", "200"))
	for _, other := range []uint64{
		hash("PUT", "a.example", "/x", "body", "100"), hash("POST", "b.example", "/x", "body", "100"),
		hash("POST", "a.example", "/x?q", "body", "100"), hash("POST", "a.example", "/xb", "ody", "100"),
		hash("POST", "a.example", "/x", "bodY", "100"), hash("POST", "", "a.example/x", "body", "100"),
	} {
		require.NotEqual(t, first, other)
	}
}
