package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

// Guards against a fault that sends no copies, sends them in place of answers or without a request, or goes on after its end.
func TestLateCopiesPrecedeLaterResponses(t *testing.T) {
	b := &backend{world: &World{recorder: newRecorder()}, random: rand.New(rand.NewPCG(1, 0))}
	l, err := net.Listen("tcp", freePort)
	require.NoError(t, err)
	server := &http.Server{ConnContext: withConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.beginResponse(r)
		id := fakeplatform.ReadAttempt(r).ID
		fakeplatform.SetRequestID(w, id)
		_, _ = io.WriteString(w, expectedBody(id))
	})}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(&copyListener{l}) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	responses := bufio.NewReader(conn)

	require.Zero(t, copiesBefore(t, conn, responses, 0, 50))
	b.copies.Store(&copyFault{})
	require.Greater(t, copiesBefore(t, conn, responses, 50, 150), 20)
	b.copies.Store(nil)
	require.Zero(t, copiesBefore(t, conn, responses, 150, 200))
}

// copiesBefore sends requests one after another and returns the number of responses to other requests before their own.
func copiesBefore(t *testing.T, conn net.Conn, responses *bufio.Reader, first, end int) (copies int) {
	for n := first; n < end; n++ {
		require.Zero(t, responses.Buffered(), "bytes that belong to no request")
		own := fmt.Sprint("r", n)
		_, err := fmt.Fprintf(conn, "GET /once/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n\r\n", routeHost, own)
		require.NoError(t, err)
		for {
			resp, err := http.ReadResponse(responses, nil)
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			id := resp.Header.Get("Attempt-Id")
			if resp.StatusCode == http.StatusOK {
				require.Equal(t, expectedBody(id), string(body))
			}
			if id == own {
				break
			}
			copies++
		}
	}
	return copies
}

// Guards against a check that misses requests which a late copy has cost the answer, or reports those that it has not.
func TestRequestsFailedByLateCopiesAreReported(t *testing.T) {
	for _, c := range []struct {
		name     string
		faults   Faults
		answered bool
		took     time.Duration
		violated bool
	}{
		{name: "failed", faults: FaultsCopies, answered: true, took: time.Second, violated: true},
		{name: "failed at its timeout", faults: FaultsCopies, answered: true, took: callerTimeout},
		{name: "not answered", faults: FaultsCopies, took: time.Second},
		{name: "failed beside other faults", faults: FaultsAll, answered: true, took: time.Second},
	} {
		w := &World{recorder: newRecorder(), lost: newLostRecorder(), options: Options{Faults: c.faults}}
		i := &instance{world: w, settings: t.TempDir() + "/entry"}
		w.lost.requests["r"] = &passage{id: "r", kind: kindOnce, instance: i, cut: "status 502", endedAt: c.took, answered: c.answered}
		w.checkCopies()
		require.Equal(t, c.violated, len(w.recorder.violations) > 0, c.name)
	}
}
