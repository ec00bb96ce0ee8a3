package proxy_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// inputPace is the speed at which an endless request is sent.
type inputPace struct {
	name     string
	piece    int
	interval time.Duration
}

// inputPaces are full speed, and a byte or a few now and then.
var inputPaces = []inputPace{
	{name: "fast", piece: 16 << 10},
	{name: "byte", piece: 1, interval: 100 * time.Millisecond},
	{name: "slow", piece: 30, interval: 100 * time.Millisecond},
}

// sendEndless sends head, and then text again and again until a write fails. It returns the number of bytes sent.
func sendEndless(conn net.Conn, p inputPace, head, text string) int {
	repeated := strings.Repeat(text, 2+p.piece/len(text))
	n, err := io.WriteString(conn, head)
	for at := 0; err == nil; at = (at + p.piece) % len(text) {
		time.Sleep(p.interval)
		var more int
		more, err = io.WriteString(conn, repeated[at:at+p.piece])
		n += more
	}
	return n
}

// readUntilClosed returns the status of the last response, 0 if there is none, when the connection was closed for reading, and the
// error that ended it, nil if its end was orderly.
func readUntilClosed(conn net.Conn) (status int, ended time.Time, err error) {
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return status, time.Now(), err
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return status, time.Now(), err
		}
		status = resp.StatusCode
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return status, time.Now(), err
		}
	}
}

// keepWithOneRequest sends a request on a connection and reads its response.
func keepWithOneRequest(t *testing.T, i *instance, conn net.Conn) {
	t.Helper()
	require.NoError(t, newChat(t, i.url, false, nil).Write(conn))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
}

// endlessInputs are requests that do not end, with the status that each gets at full speed and at a slow pace, 0 if none. Chunks of
// one byte take so long to read on a slow machine that either limit may come first.
var endlessInputs = []struct {
	name, head, text string
	fast             []int
	slow             int
}{
	{"empty lines", "", "\r\n", []int{0}, 0},
	{"request line", "GET /", "path", []int{431}, 408},
	{"header fields", chatHead, "X-Field: value\r\n", []int{431}, 408},
	{"one header field", chatHead + "X-Field: ", "value", []int{431}, 408},
	{"chunk size", chunkedHead, "0", []int{400}, 400},
	{"chunk extension", chunkedHead + "1;", "extension", []int{400}, 408},
	{"chunks", chunkedHead, "40\r\n" + strings.Repeat("x", 64) + "\r\n", []int{413}, 408},
	{"chunks of a byte", chunkedHead, "1\r\nx\r\n", []int{413, 408}, 408},
	{"large chunk", chunkedHead + "f0000\r\n", "x", []int{400}, 408},
	{"trailers", chunkedHead + "0\r\n", "X-Field: value\r\n", []int{431}, 408},
	{"body", chatHead + "Content-Length: 1000000\r\n\r\n", "x", []int{431}, 408},
	{"body over the limit", chatHead + "Content-Length: 800000000\r\n\r\n", "x", []int{413}, 413},
	{"expected body", chatHead + "Expect: 100-continue\r\nContent-Length: 1000000\r\n\r\n", "x", []int{431}, 408},
}

const chunkedHead = chatHead + "Transfer-Encoding: chunked\r\n\r\n"

// Guards against a connection that is held for good, or takes a processor or memory for long, by bytes that never become a request.
func TestEndlessInputIsClosed(t *testing.T) {
	t.Parallel()
	const (
		readTimeout = 2 * time.Second
		// linger is how long an instance reads on after a response to a request that was not read whole.
		linger  = 2 * time.Second
		margin  = 1500 * time.Millisecond
		maxBody = 1 << 20
		// maxBytes is what an instance reads at most: a body in chunks of one byte, and 128 MB of the rest. The buffers of the
		// kernel come on top.
		maxBytes = 6*maxBody + 128<<20 + 24<<20
	)
	_, addresses := startEngines(t, 1, time.Millisecond)
	i := startInstance(t, fleetConfig(addresses, nil), proxy.Options{ReadTimeout: readTimeout, MaxBody: maxBody})
	floods := make(chan struct{}, 1) // One at a time, beside the tests that run in parallel.
	for _, p := range inputPaces {
		for _, kept := range []bool{false, true} {
			for _, tt := range endlessInputs {
				name := p.name + "/" + tt.name
				if kept {
					name += " on a kept connection"
				}
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					if p.interval == 0 {
						floods <- struct{}{}
						defer func() { <-floods }()
					}
					conn := dial(t, i.address)
					if kept {
						keepWithOneRequest(t, i, conn)
					}
					begun := time.Now()
					require.NoError(t, conn.SetDeadline(begun.Add(4*readTimeout+4*linger)))
					sent := make(chan int, 1)
					go func() { sent <- sendEndless(conn, p, tt.head, tt.text) }()
					status, ended, err := readUntilClosed(conn)
					bytes := <-sent
					t.Logf("status %d after %v, %v, %d bytes in %v", status, ended.Sub(begun), err, bytes, time.Since(begun))
					require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is still open")
					want := []int{tt.slow}
					if p.interval == 0 {
						want = tt.fast
					}
					require.Contains(t, want, status)
					require.Less(t, ended.Sub(begun), readTimeout+margin)
					require.Less(t, time.Since(begun), readTimeout+linger+margin)
					require.Less(t, bytes, maxBytes)
				})
			}
		}
	}
}

// Guards against waiting for the rest of a request line that has begun with bytes of another protocol.
func TestGarbageIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	_, addresses := startEngines(t, 1, time.Millisecond)
	i := startInstance(t, fleetConfig(addresses, nil), proxy.Options{ReadTimeout: waitTimeout})
	for name, text := range map[string]string{
		"handshake of TLS": "\x16\x03\x01\x02\x00\x01\x00", "zeros": "\x00", "garbage": "garbage\x00", "text": "{\"model\":",
		"long method": "METHOD",
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", kept ", kept), func(t *testing.T) {
				t.Parallel()
				conn := dial(t, i.address)
				if kept {
					keepWithOneRequest(t, i, conn)
				}
				begun := time.Now()
				go sendEndless(conn, inputPace{piece: 10, interval: 100 * time.Millisecond}, "", text)
				status, ended, err := readUntilClosed(conn)
				require.NoError(t, err)
				require.Equal(t, http.StatusBadRequest, status)
				require.Less(t, ended.Sub(begun), 2*time.Second)
			})
		}
	}
}

// Guards against refusing what may become a request: any method, after empty lines, in pieces, and several requests at once.
func TestRequestLinesInPiecesAreServed(t *testing.T) {
	t.Parallel()
	_, addresses := startEngines(t, 1, time.Millisecond)
	b := startRawBackend(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	i := startInstance(t, fleetConfig(addresses, []string{b.address}), proxy.Options{})
	request := func(method string) string {
		return method + " /services/portal/x HTTP/1.1\r\nHost: fleet\r\nEbonydyke-Customer: branch-recife\r\n\r\n"
	}
	all := request("GET") + "\r\n" + request("M-SEARCH") + request("PROPFIND") + "\r\n\r\n" + request("DELETE")
	for _, size := range []int{1, 2, 3, 7, 60, 100, 150, len(all)} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			conn := dial(t, i.address)
			go func() {
				for rest := all; rest != ""; {
					n := min(size, len(rest))
					_, _ = io.WriteString(conn, rest[:n])
					rest = rest[n:]
					time.Sleep(5 * time.Millisecond)
				}
			}()
			in := bufio.NewReader(conn)
			for range 4 {
				resp, err := http.ReadResponse(in, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode)
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
			}
		})
	}
}

// Guards against reading on without bound while a request is processed, or losing its response.
func TestBytesBesideARequestAreNotReadAhead(t *testing.T) {
	t.Parallel()
	const answerAfter = time.Second
	_, addresses := startEngines(t, 1, time.Millisecond)
	b := startRawBackend(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		time.Sleep(answerAfter)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	i := startInstance(t, fleetConfig(addresses, []string{b.address}), proxy.Options{ReadTimeout: 2 * time.Second})
	for _, p := range inputPaces {
		for _, text := range []string{"garbage\x00", "X-Field: value\r\n", "\r\n"} {
			t.Run(fmt.Sprintf("%s %q", p.name, text), func(t *testing.T) {
				t.Parallel()
				conn := dial(t, i.address)
				require.NoError(t, conn.(*net.TCPConn).SetWriteBuffer(64<<10))
				_, err := io.WriteString(conn, "GET /services/portal/x HTTP/1.1\r\nHost: fleet\r\nEbonydyke-Customer: branch-recife\r\n\r\n")
				require.NoError(t, err)
				var beforeAnswer atomic.Int64
				done := make(chan struct{})
				go func() {
					defer close(done)
					sendEndless(writeCounter{conn, &beforeAnswer}, p, "", text)
				}()
				in := bufio.NewReader(conn)
				resp, err := http.ReadResponse(in, nil)
				require.NoError(t, err)
				require.Less(t, beforeAnswer.Load(), int64(16<<20), "the kernel's buffers alone")
				require.Equal(t, http.StatusOK, resp.StatusCode)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, "ok", string(body))
				_, err = io.Copy(io.Discard, in)
				require.NoError(t, err, "the connection ends in an orderly way")
				<-done
			})
		}
	}
}

// writeCounter counts the bytes written to a connection.
type writeCounter struct {
	net.Conn
	n *atomic.Int64
}

// Write implements net.Conn.
func (w writeCounter) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.n.Add(int64(n))
	return n, err
}

// Guards against memory that is taken by bodies which are announced and never sent.
func TestAnnouncedBodiesTakeNoMemory(t *testing.T) {
	const connections, allowed = 32, 32 << 20
	_, addresses := startEngines(t, 1, time.Millisecond)
	i := startInstance(t, fleetConfig(addresses, nil), proxy.Options{})
	for name, head := range map[string]string{
		"length": chatHead + "Content-Length: 8000000\r\n\r\n",
		"chunk":  chunkedHead + "7a1200\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			before := heapInUse()
			for range connections {
				conn := dial(t, i.address)
				_, err := io.WriteString(conn, head+"x")
				require.NoError(t, err)
			}
			require.Never(t, func() bool { return heapInUse() > before+allowed }, time.Second, 50*time.Millisecond)
		})
	}
}

// heapInUse returns the bytes of the heap that are in use or not collected yet.
func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against a reset, which may discard a response that the caller has not read, because empty lines follow its request.
func TestEmptyLinesDoNotResetConnection(t *testing.T) {
	t.Parallel()
	_, addresses := startEngines(t, 1, time.Millisecond)
	i := startInstance(t, fleetConfig(addresses, nil), proxy.Options{})
	body := `{"model":"underwriting","messages":[{"role":"user","content":"review"}]}`
	request := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", chatHead, len(body), body)
	lines := strings.Repeat("\r\n", 256<<10)
	for name, pieces := range map[string][]string{"with the request": {request + lines}, "after the request": {request, lines}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dial(t, i.address)
			for _, piece := range pieces {
				_, err := io.WriteString(conn, piece)
				require.NoError(t, err)
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(500 * time.Millisecond)
			status, _, err := readUntilClosed(conn)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
		})
	}
}
