package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

const (
	// callerTimeout is the timeout that callers send with a request; the timeouts of the
	// routes are shorter.
	callerTimeout = 8 * time.Second
	// routeTimeout is the timeout of every route. responseSlack is how much later the
	// final response may arrive.
	routeTimeout  = 4 * time.Second
	responseSlack = time.Second
	callerKey     = "key-steady"
	routeHost     = "soak.example"
)

var requestKinds = []string{kindOnce, kindSafe, kindStream, kindReview}

// runCaller sends requests one after another until ctx ends, each to a random instance, on
// keep-alive connections. It also sends to instances that are stopping.
func (w *World) runCaller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(w.options.Seed, uint64(1000+number)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	for n := 0; ctx.Err() == nil; n++ {
		i := w.instances[random.IntN(len(w.instances))]
		kind := requestKinds[random.IntN(len(requestKinds))]
		id := fmt.Sprintf("c%d-%d", number, n)
		w.call(ctx, client, i, kind, id)
		pause := time.Duration(random.Int64N(int64(60 * time.Millisecond)))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// call sends one request and checks the response.
func (w *World) call(ctx context.Context, client *http.Client, i *instance, kind, id string) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	req, err := fakeplatform.NewRequest(ctx, fakeplatform.Call{
		Address: i.listen, Host: routeHost, Path: "/" + kind + "/x", ID: id, Key: callerKey, Timeout: callerTimeout,
	})
	if err != nil {
		return
	}
	startedAt := w.recorder.elapsed()
	resp, err := client.Do(req)
	w.checkResponseTime(i, id, startedAt, err)
	if err != nil {
		w.recorder.count("no answer")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	w.checkResponse(i, kind, id, resp)
}

// checkResponseTime checks that the final response arrived at most responseSlack after the
// route's timeout. It passes over instances that were disturbed; a paused one cannot respond.
func (w *World) checkResponseTime(i *instance, id string, startedAt time.Duration, err error) {
	took := w.recorder.elapsed() - startedAt
	if took > routeTimeout+responseSlack && !i.disturbedSince(startedAt) && !errors.Is(err, context.Canceled) {
		w.recorder.recordViolation("an answer in time", id, fmt.Sprintf("%v at %s", took, i.name))
	}
}

// checkResponse checks the status of a response and, for a success, its content.
func (w *World) checkResponse(i *instance, kind, id string, resp *http.Response) {
	switch resp.StatusCode {
	case http.StatusOK:
		w.checkSuccess(kind, id, resp)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		w.recorder.recordRefusal(id, fmt.Sprintf("%s at %s", resp.Status, i.name))
		w.checkNotBlamed(id, resp)
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusForbidden, http.StatusBadRequest:
		w.recorder.recordViolation("a proper request is not denied", id, fmt.Sprintf("%s at %s", resp.Status, i.name))
	default:
		w.recorder.count("failed")
	}
}

// checkSuccess checks that a successful response is complete and belongs to this request.
// A response that ends with a read error is counted, not reported as a violation.
func (w *World) checkSuccess(kind, id string, resp *http.Response) {
	if fakeplatform.SealOf(resp) != expectedSeal(id) {
		w.recorder.recordViolation("the own answer", id, "another server's mark")
		return
	}
	if kind == kindStream || kind == kindReview {
		w.checkStream(id, resp.Body)
		return
	}
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		w.recorder.count("broken off")
	case string(body) != expectedBody(id):
		w.recorder.recordViolation("the whole answer", id, fmt.Sprintf("%d bytes", len(body)))
	default:
		w.recorder.count("answered")
	}
}

// checkStream checks the order and data of the events, and that a stream that ends without
// an error is complete.
func (w *World) checkStream(id string, body io.Reader) {
	lines := bufio.NewScanner(body)
	last := 0
	for lines.Scan() {
		text := lines.Text()
		if number, ok := strings.CutPrefix(text, "id: "); ok {
			if number != strconv.Itoa(last+1) {
				w.recorder.recordViolation("events in order", id, fmt.Sprintf("%s after %d", number, last))
				return
			}
			last++
			continue
		}
		if data, ok := strings.CutPrefix(text, "data: "); ok && data != expectedEvent(id, last) {
			w.recorder.recordViolation("the own answer", id, "event "+data)
			return
		}
	}
	switch {
	case lines.Err() != nil:
		w.recorder.count("broken off")
	case last != expectedEventCount(id):
		w.recorder.recordViolation("the whole answer", id, fmt.Sprintf("%d of %d events", last, expectedEventCount(id)))
	default:
		w.recorder.count("answered")
	}
}
