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

	"github.com/ebonydyke/ebonydyke/platform/standin"
)

const (
	// callerTimeout is the timeout that callers send with a request; the timeouts of the
	// routes are shorter.
	callerTimeout = 8 * time.Second
	// routeTimeout is the timeout of every route. heldSlack is how much later the final
	// response may arrive.
	routeTimeout = 4 * time.Second
	heldSlack    = time.Second
	callerKey    = "key-steady"
	host         = "soak.example"
)

var kinds = []string{kindOnce, kindSafe, kindStream, kindReview}

// caller sends requests one after another until ctx ends, each to a random instance, on
// keep-alive connections. It also sends to instances that are stopping.
func (w *World) caller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(w.options.Seed, uint64(1000+number)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	for n := 0; ctx.Err() == nil; n++ {
		i := w.instances[random.IntN(len(w.instances))]
		kind := kinds[random.IntN(len(kinds))]
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
	req, err := standin.NewRequest(ctx, standin.Call{
		Address: i.listen, Host: host, Path: "/" + kind + "/x", ID: id, Key: callerKey, Wait: callerTimeout,
	})
	if err != nil {
		return
	}
	startedAt := w.ledger.elapsed()
	resp, err := client.Do(req)
	w.checkHeld(i, id, startedAt, err)
	if err != nil {
		w.ledger.count("no answer")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	w.checkAnswer(i, kind, id, resp)
}

// checkHeld checks that the final response arrived at most heldSlack after the route's
// timeout. It passes over instances that were disturbed; a paused one cannot respond.
func (w *World) checkHeld(i *instance, id string, startedAt time.Duration, err error) {
	took := w.ledger.elapsed() - startedAt
	if took > routeTimeout+heldSlack && !i.disturbedSince(startedAt) && !errors.Is(err, context.Canceled) {
		w.ledger.broken("an answer in time", id, fmt.Sprintf("%v at %s", took, i.name))
	}
}

// checkAnswer checks the status of a response and, for a success, its content.
func (w *World) checkAnswer(i *instance, kind, id string, resp *http.Response) {
	switch resp.StatusCode {
	case http.StatusOK:
		w.checkSuccess(kind, id, resp)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		w.ledger.saidNotRun(id, fmt.Sprintf("%s at %s", resp.Status, i.name))
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusForbidden, http.StatusBadRequest:
		w.ledger.broken("a proper request is not denied", id, fmt.Sprintf("%s at %s", resp.Status, i.name))
	default:
		w.ledger.count("failed")
	}
}

// checkSuccess checks that a successful response is complete and belongs to this request.
// A response that ends with a read error is counted, not reported as a violation.
func (w *World) checkSuccess(kind, id string, resp *http.Response) {
	if standin.MarkOf(resp) != markOf(id) {
		w.ledger.broken("the own answer", id, "another server's mark")
		return
	}
	if kind == kindStream || kind == kindReview {
		w.checkStream(id, resp.Body)
		return
	}
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		w.ledger.count("broken off")
	case string(body) != bodyOf(id):
		w.ledger.broken("the whole answer", id, fmt.Sprintf("%d bytes", len(body)))
	default:
		w.ledger.count("answered")
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
				w.ledger.broken("events in order", id, fmt.Sprintf("%s after %d", number, last))
				return
			}
			last++
			continue
		}
		if data, ok := strings.CutPrefix(text, "data: "); ok && data != eventOf(id, last) {
			w.ledger.broken("the own answer", id, "event "+data)
			return
		}
	}
	switch {
	case lines.Err() != nil:
		w.ledger.count("broken off")
	case last != eventsOf(id):
		w.ledger.broken("the whole answer", id, fmt.Sprintf("%d of %d events", last, eventsOf(id)))
	default:
		w.ledger.count("answered")
	}
}
