package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

const (
	// callersPerWireCaller is the number of ordinary callers for each one that writes its requests to the wire itself, and
	// callersPerWireCallerOfPauses the same beside pauses or late copies only, where no other fault needs the servers' slots.
	callersPerWireCaller, callersPerWireCallerOfPauses = 4, 2
	// maxPieces bounds the pieces in which a request is sent, and maxPieceGap the time between two of them.
	maxPieces, maxPieceGap = 5, 120 * time.Millisecond
	// wireBodySize is the size in bytes of a body, so that its pieces arrive in several reads.
	wireBodySize = 6000
	// pipelineOdds is one in how many requests are followed by another one before the response.
	pipelineOdds = 2
	// maxKeptPause bounds the pause before the next request on a kept connection. It exceeds the time after which a
	// stopping instance closes an idle connection.
	maxKeptPause = 450 * time.Millisecond
	// wireTimeout is when such a caller gives up.
	wireTimeout = callerTimeout
)

// wireKinds are the kinds of requests of these callers.
var wireKinds = []string{kindOnce, kindSafe}

// wireCaller sends requests on a connection that it keeps until it ends: in pieces, one after the other, or a second one
// before the first is answered.
type wireCaller struct {
	world  *World
	random *rand.Rand
	name   string
	sent   int
}

// wireRequest is a request on the wire.
type wireRequest struct {
	id, kind string
	text     []byte
	request  *http.Request
}

// wireCallers returns the number of these callers.
func (w *World) wireCallers() int {
	if w.options.Faults == FaultsPauses || w.options.Faults == FaultsCopies {
		return max(1, w.options.Callers/callersPerWireCallerOfPauses)
	}
	return max(1, w.options.Callers/callersPerWireCaller)
}

// runWireCaller sends requests on one connection after another until ctx ends.
func (w *World) runWireCaller(ctx context.Context, number int) {
	c := &wireCaller{world: w, random: rand.New(rand.NewPCG(w.options.Seed, uint64(2000+number))), name: fmt.Sprintf("k%d", number)}
	for ctx.Err() == nil {
		i := w.chooseInstance(c.random)
		conn, err := net.DialTimeout("tcp", i.listen, time.Second)
		if err != nil {
			time.Sleep(maxPieceGap)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		c.useConn(ctx, i, conn)
		stop()
		_ = conn.Close()
	}
}

// useConn sends requests on a connection until it ends or a response asks to close it.
func (c *wireCaller) useConn(ctx context.Context, i *instance, conn net.Conn) {
	responses := bufio.NewReader(conn)
	for ctx.Err() == nil {
		batch := []*wireRequest{c.newRequest(i)}
		if c.random.IntN(pipelineOdds) == 0 {
			batch = append(batch, c.newRequest(i))
		}
		writes := c.planWrites(batch)
		written := make(chan struct{})
		go func() {
			defer close(written)
			c.write(i, conn, writes)
		}()
		again := c.readResponses(ctx, i, conn, responses, batch)
		if !again {
			_ = conn.Close()
		}
		<-written
		if !again {
			return
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(maxKeptPause))))
	}
}

func (c *wireCaller) newRequest(i *instance) *wireRequest {
	r := &wireRequest{id: fmt.Sprintf("%s-%d", c.name, c.sent), kind: wireKinds[c.random.IntN(len(wireKinds))]}
	c.sent++
	req, err := fakeplatform.NewRequest(context.Background(), fakeplatform.Call{
		Address: i.listen, Host: routeHost, Path: "/" + r.kind + "/" + r.id, ID: r.id, Key: callerKey, Timeout: callerTimeout,
		Body: strings.Repeat(r.id+" ", wireBodySize/(len(r.id)+1)),
	})
	if err != nil {
		panic(err) // The text of the request is constant.
	}
	var text bytes.Buffer
	_ = req.Write(&text) // A buffer accepts all bytes.
	r.request, r.text = req, text.Bytes()
	return r
}

// wireWrite is one write to the wire, after a pause. last is the request whose last byte it holds, nil if none.
type wireWrite struct {
	pause time.Duration
	of    *wireRequest
	bytes []byte
	last  bool
}

// planWrites splits requests into pieces. A request after the first one follows at once.
func (c *wireCaller) planWrites(batch []*wireRequest) []wireWrite {
	var writes []wireWrite
	for n, r := range batch {
		pieces := 1 + c.random.IntN(maxPieces)
		if n > 0 {
			pieces = 1
		}
		rest := r.text
		for piece := range pieces {
			size := len(rest)
			if piece < pieces-1 {
				size = c.random.IntN(len(rest))
			}
			write := wireWrite{of: r, bytes: rest[:size], last: piece == pieces-1}
			if piece > 0 {
				write.pause = time.Duration(c.random.Int64N(int64(maxPieceGap)))
			}
			writes = append(writes, write)
			rest = rest[size:]
		}
	}
	return writes
}

// write sends requests. If the connection ends meanwhile, the rest stays unsent.
func (c *wireCaller) write(i *instance, conn net.Conn, writes []wireWrite) {
	w := c.world
	for n, piece := range writes {
		time.Sleep(piece.pause)
		if n == 0 || writes[n-1].last {
			w.recordSent(i, piece.of.kind, piece.of.id)
		}
		if _, err := conn.Write(piece.bytes); err != nil {
			return
		}
		if piece.last {
			w.recordWholeSent(piece.of.id)
		}
	}
}

// readResponses reads the responses to a batch of requests, and reports whether the connection can be used again.
func (c *wireCaller) readResponses(ctx context.Context, i *instance, conn net.Conn, responses *bufio.Reader, batch []*wireRequest) bool {
	w := c.world
	_ = conn.SetReadDeadline(time.Now().Add(wireTimeout))
	again := true
	for n, r := range batch {
		startedAt := w.recorder.elapsed()
		resp, err := http.ReadResponse(responses, r.request)
		if err != nil {
			c.recordEnd(ctx, i, batch[n:], startedAt, err)
			return false
		}
		w.checkResponseTime(i, r.id, startedAt, nil)
		w.checkResponse(i, r.kind, r.id, resp)
		// What is left of a failure's body precedes the next response.
		if _, err := io.Copy(io.Discard, resp.Body); err != nil && ctx.Err() == nil {
			w.recordCut(r.id, err)
			w.recordBehindCut(batch[n+1:], r.id)
		}
		_ = resp.Body.Close()
		w.recorder.count("responses on kept connections")
		again = again && !resp.Close
	}
	return again
}

// recordBehindCut records that the response before those to some requests was cut.
func (w *World) recordBehindCut(behind []*wireRequest, ahead string) {
	w.lost.mu.Lock()
	defer w.lost.mu.Unlock()
	for _, r := range behind {
		if p := w.lost.requests[r.id]; p != nil {
			p.behindCut = ahead
		}
	}
}

// recordEnd records the requests that a connection's end leaves without a response.
func (c *wireCaller) recordEnd(ctx context.Context, i *instance, left []*wireRequest, startedAt time.Duration, err error) {
	if ctx.Err() != nil {
		return
	}
	c.world.checkResponseTime(i, left[0].id, startedAt, err)
	for _, r := range left {
		c.world.recordCut(r.id, err)
		c.world.recorder.count("no answer on a kept connection")
	}
}
