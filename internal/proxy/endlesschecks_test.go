package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

const (
	// checkWithin is the time in which an instance gives up a request of its own to a backend server.
	checkWithin = 3 * time.Second
	// lateGarbage is the pause between a whole answer and the bytes that follow it.
	lateGarbage = 200 * time.Millisecond
	// maxCheckTaken is what the buffers of a connection hold besides an answer to such a request.
	maxCheckTaken = 16 << 20
)

// reportRows are rows of an answer to a request of the instance itself. None of them is an answer.
func reportRows() []endless {
	rows := append(headRows(), framingRows("", "{}")...)
	for _, e := range plainRows() {
		if e.body && !e.slowOnly {
			e.body, e.delivers = false, false
			rows = append(rows, e)
		}
	}
	return rows
}

// Guards against a server that is chosen again and again, because its answer to the process check never ends and costs each
// request its timeout.
func TestProcessCheckWithoutEndDelaysNoRequest(t *testing.T) {
	t.Parallel()
	p := routePath("checked stream", "resumable")
	p.incarnation = uint64(time.Now().UnixMilli())
	rows := reportRows()
	for n := range rows {
		rows[n].at = fakeplatform.ReportPath
	}
	requireBounded(t, p, rows, everyPace)
}

// runRows calls run for each row at each pace, all at the same time, and check for each of them afterwards.
func runRows[T any](t *testing.T, rows []endless, run func(e endless, at pace) T, check func(t *testing.T, result T)) {
	t.Helper()
	results := make([]T, len(rows)*len(everyPace))
	var group sync.WaitGroup
	for n, e := range rows {
		for m, at := range everyPace {
			group.Go(func() { results[n*len(everyPace)+m] = run(e, at) })
		}
	}
	group.Wait()
	for n, result := range results {
		e, at := rows[n/len(everyPace)], everyPace[n%len(everyPace)]
		t.Run(e.name+", "+at.name, func(t *testing.T) { check(t, result) })
	}
}

// startEndlessBackend starts a server that sends a row in answer to each request that serve does not answer.
func startEndlessBackend(t *testing.T, e endless, at pace, serve rawHandler) *endlessBackend {
	t.Helper()
	b := &endlessBackend{path: endlessPath{fields: noFields, refused: nativeRefusal}, row: e, pace: at}
	b.rawBackend = startRawBackend(t, func(nth int, r *http.Request, conn net.Conn) bool {
		if serve != nil && serve(nth, r, conn) {
			return true
		}
		return b.serve(nth, r, conn)
	})
	return b
}

// requireClosed checks how many of the server's connections were open in the end, and how much they took.
func (b *endlessBackend) requireClosed(t *testing.T, open int64) {
	t.Helper()
	require.Positive(t, b.requests.Load(), "the server was not asked")
	require.Zero(t, open, "open connections")
	require.LessOrEqual(t, b.maxTaken.Load(), int64(maxCheckTaken), "bytes taken of one answer")
}

// Guards against connections and memory that are kept for bytes without end for which nobody waits.
func TestConnectionsOfBytesWithoutEndAreClosed(t *testing.T) {
	t.Run("load report", testLoadReportWithoutEnd)
	t.Run("idle connection", testIdleConnectionWithBytesWithoutEnd)
}

// testIdleConnectionWithBytesWithoutEnd sends one request to a server whose bytes without end begin a while after its answer.
func testIdleConnectionWithBytesWithoutEnd(t *testing.T) {
	t.Parallel()
	type result struct {
		backend *endlessBackend
		reply   endlessReply
		open    int64
	}
	run := func(e endless, at pace) result {
		f := startEndlessFleet(t, nativePath("native plain", false, plainCall).withoutOther(), e, at)
		got := f.ask(t)
		time.Sleep(e.pause)
		return result{f.bad, got, f.bad.openAfter(checkWithin)}
	}
	var rows []endless
	for _, e := range plainRows() {
		if e.answers {
			e.pause = lateGarbage
			rows = append(rows, e)
		}
	}
	runRows(t, rows, run, func(t *testing.T, got result) {
		require.Equal(t, soundBody, got.reply.body, got.reply)
		got.backend.requireClosed(t, got.open)
	})
}

func testLoadReportWithoutEnd(t *testing.T) {
	t.Parallel()
	i := startInstance(t, fleetConfig([]string{"127.0.0.1:1"}, nil), proxy.Options{})
	type result struct {
		backend *endlessBackend
		err     error
		took    time.Duration
		open    int64
	}
	run := func(e endless, at pace) result {
		b := startEndlessBackend(t, e, at, nil)
		began := time.Now()
		_, err := i.server.Report("engine-1", b.address)
		return result{b, err, time.Since(began), b.openAfter(closeSlack)}
	}
	runRows(t, reportRows(), run, func(t *testing.T, got result) {
		require.Error(t, got.err)
		require.Less(t, got.took, checkWithin)
		got.backend.requireClosed(t, got.open)
	})
}

// Guards against connections, memory and workers that are kept for a stream's cancellation whose answer never ends.
func TestCancellationWithoutEndIsLeft(t *testing.T) {
	t.Parallel()
	type result struct {
		backend *endlessBackend
		open    int64
	}
	run := func(e endless, at pace) result {
		cancelled := make(chan struct{}, 1)
		b := startEndlessBackend(t, e, at, func(_ int, r *http.Request, conn net.Conn) bool {
			if r.Method == http.MethodDelete {
				cancelled <- struct{}{}
				return false
			}
			_, _ = fmt.Fprintf(conn, nativeHead+chunk(firstEvent), 1)
			_, _ = io.Copy(io.Discard, conn)
			return true
		})
		i := startInstance(t, fleetConfig([]string{b.address}, nil), proxy.Options{})
		leaveStream(t, i)
		select {
		case <-cancelled:
		case <-time.After(checkWithin):
			t.Errorf("%s, %s: the stream was not cancelled", e.name, at.name)
		}
		return result{b, b.openAfter(checkWithin)}
	}
	runRows(t, reportRows(), run, func(t *testing.T, got result) { got.backend.requireClosed(t, got.open) })
}

// leaveStream sends a chat and disconnects after the first event.
func leaveStream(t *testing.T, i *instance) {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	resp, err := singleUse.Do(newChat(t, i.url, true, nil).WithContext(ctx))
	if err != nil {
		t.Errorf("chat: %v", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadFull(resp.Body, make([]byte, len(firstEvent))); err != nil {
		t.Errorf("first event: %v", err)
	}
}

const (
	// maxRowMemory is the memory in bytes that one response without end may take, and baseMemory what the rest of a test may.
	maxRowMemory = 4 << 20
	baseMemory   = 48 << 20
)

// Guards against memory that grows with what a server sends without end.
func TestBytesWithoutEndTakeLittleMemory(t *testing.T) {
	stream := nativePath("native chat stream", true, chatCall(true))
	stream.fields = resumableFields
	cases := []struct {
		path endlessPath
		rows []endless
	}{
		{nativePath("native plain", false, plainCall), plainRows()},
		{routePath("once", "once"), append(plainRows(), failureRows()...)},
		{stream, streamRows()},
		{routePath("resumable stream", "resumable"), streamRows()},
	}
	var fleets []*endlessFleet
	for _, c := range cases {
		for _, e := range c.rows {
			fleets = append(fleets, startEndlessFleet(t, c.path, e, fullSpeed))
		}
	}
	before := heapSize()
	most := heapSizeWhile(func() {
		var group sync.WaitGroup
		for _, f := range fleets {
			group.Go(func() { f.askUntilMet(t) })
		}
		group.Wait()
	})
	t.Logf("%d MB before, %d MB at most, %d responses without end", before>>20, most>>20, len(fleets))
	require.Less(t, most, before+baseMemory+uint64(len(fleets)*maxRowMemory), "%d bytes before", before)
	for _, f := range fleets {
		require.Positive(t, f.bad.requests.Load(), "%s: the server that sends bytes without end was not asked", f.bad.row.name)
	}
}

// askUntilMet sends requests until one meets the bad server.
func (f *endlessFleet) askUntilMet(t *testing.T) {
	for range endlessRequests {
		if f.ask(t).asked > 0 {
			return
		}
	}
}

// heapSizeWhile returns the largest size of the heap while run runs.
func heapSizeWhile(run func()) uint64 {
	done := make(chan struct{})
	go func() { defer close(done); run() }()
	for most := uint64(0); ; {
		most = max(most, heapSize())
		select {
		case <-done:
			return most
		case <-time.After(2 * pollInterval):
		}
	}
}

// heapSize returns the size of the heap in bytes.
func heapSize() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// checkedProcess returns the process that attempts on the path must reach, if any.
func (p endlessPath) checkedProcess() *core.ProcessCheck {
	if p.incarnation == 0 {
		return nil
	}
	return &core.ProcessCheck{Incarnation: p.incarnation}
}
