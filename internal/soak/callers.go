package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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
		i := w.chooseInstance(random)
		kind := requestKinds[random.IntN(len(requestKinds))]
		id := fmt.Sprintf("c%d-%d", number, n)
		if kind == kindStream {
			w.runStream(ctx, client, random, id)
		} else {
			w.call(ctx, client, i, kind, id)
		}
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
		Address: i.listen, Host: routeHost, Path: "/" + kind + "/" + id, ID: id, Key: callerKey, Timeout: callerTimeout,
	})
	if err != nil {
		return
	}
	startedAt := w.recorder.elapsed()
	w.recordSent(i, kind, id)
	defer w.beginRequest(i, kind, id)()
	resp, err := client.Do(w.traceWholeSent(req, id))
	w.checkResponseTime(i, id, startedAt, err)
	if err != nil {
		w.recordCut(id, err)
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
		w.recorder.recordViolation("an answer in time", id, fmt.Sprintf("%v at %s, the soak itself stood still for %v of it; log: %s",
			took, i.name, w.standstills.within(startedAt, startedAt+took), strings.Join(i.loggedEnds(id), "; ")))
	}
}

// checkResponse checks the status of a response and, for a success, its content.
func (w *World) checkResponse(i *instance, kind, id string, resp *http.Response) {
	switch resp.StatusCode {
	case http.StatusOK:
		w.checkSuccess(kind, id, resp)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		w.recorder.recordRefusal(id, fmt.Sprintf("%s at %s", resp.Status, i.name))
		w.recordRefused(i, id, resp)
		w.checkNotBlamed(id, resp)
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusForbidden, http.StatusBadRequest:
		w.recorder.recordViolation("a proper request is not denied", id, fmt.Sprintf("%s at %s", resp.Status, i.name))
	default:
		w.recorder.count("failed")
		if fakeplatform.SealOf(resp) != expectedSeal(id) {
			w.recordCut(id, failureStatus(resp.Status))
		}
	}
}

// checkSuccess checks that a successful response is complete and belongs to this request.
// A response that ends with a read error is counted, not reported as a violation.
func (w *World) checkSuccess(kind, id string, resp *http.Response) {
	if fakeplatform.SealOf(resp) != expectedSeal(id) {
		w.recorder.recordViolation("the own answer", id, "another server's mark")
		return
	}
	if kind == kindReview {
		w.readEvents(&callerStream{name: id}, id, resp.Body)
		return
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	switch {
	case err != nil:
		w.recorder.count("broken off")
		w.recordCut(id, err)
	case len(body) == maxAnswerBytes:
		w.recorder.count("left a body without end")
		w.recordLeft(id)
	case string(body) != expectedBody(id):
		w.recorder.recordViolation("the whole answer", id, fmt.Sprintf("%d bytes", len(body)))
	default:
		w.recorder.count("answered")
		w.recordWhole(id)
	}
}
