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
	// callerTimeout is what callers say they wait; the routes' own times are shorter.
	callerTimeout = 8 * time.Second
	// routeTimeout is the time of every route, and heldSlack how much later the final
	// answer may come.
	routeTimeout = 4 * time.Second
	heldSlack    = time.Second
	callerKey    = "key-steady"
	host         = "soak.example"
)

var kinds = []string{kindOnce, kindSafe, kindStream, kindReview}

// caller sends one request after another until ctx ends, on connections that it keeps
// open, to whichever instance it drew, also while that is told to stop.
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

// call sends one request and checks what comes back.
func (w *World) call(ctx context.Context, client *http.Client, i *instance, kind, id string) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	req, err := standin.NewRequest(ctx, standin.Call{
		Address: i.listen, Host: host, Path: "/" + kind + "/x", ID: id, Key: callerKey, Wait: callerTimeout,
	})
	if err != nil {
		return
	}
	begun := w.ledger.elapsed()
	resp, err := client.Do(req)
	w.checkHeld(i, id, begun, err)
	if err != nil {
		w.ledger.count("no answer")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	w.checkAnswer(i, kind, id, resp)
}

// checkHeld checks that a request had its final answer soon after its route's time. An
// instance that is paused can answer nothing.
func (w *World) checkHeld(i *instance, id string, begun time.Duration, err error) {
	took := w.ledger.elapsed() - begun
	if took > routeTimeout+heldSlack && !i.disturbedSince(begun) && !errors.Is(err, context.Canceled) {
		w.ledger.broken("an answer in time", id, fmt.Sprintf("%v at %s", took, i.name))
	}
}

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

// checkSuccess checks that a success is the whole answer to this very request. One
// that breaks off visibly is none.
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

// checkStream checks the order of the events, and that a stream which ends as a whole
// one is whole.
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
