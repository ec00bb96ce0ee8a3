package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

// Poison requests end each backend server that runs them. Their callers send them again and again, with
// the same path and body, to any instance.
const (
	// poisonPath is the path of a poison request, up to its number.
	poisonPath = "/" + kindStream + "/poison-"
	// poisonInterval is the time between the first requests of two contents, and poisonDuration
	// how long each is repeated.
	poisonInterval, poisonDuration = 5 * time.Second, 9 * time.Second
	// maxPoisonEnds is the number of servers that may end under a content before it must not be sent
	// on. poisonContact later, instances without a recent fault may send it poisonSlack times more.
	maxPoisonEnds = 3
	poisonContact = 3 * time.Second
	poisonSlack   = 3
)

// poisonRecorder records what happens to poison requests.
type poisonRecorder struct {
	mu sync.Mutex
	// senders maps the ids of requests to the instances to which they were sent.
	senders map[string]*instance
	// ends counts the servers that ended under a content or a part, and reached is the time of the end that
	// began the bound on its sends.
	ends    map[string]int
	reached map[string]time.Duration
	// lateSends counts the sends that are beyond the limit of time.
	lateSends map[string]int
}

func newPoisonRecorder() *poisonRecorder {
	return &poisonRecorder{
		senders: make(map[string]*instance), ends: make(map[string]int),
		reached: make(map[string]time.Duration), lateSends: make(map[string]int),
	}
}

// poisonContent returns the content of a request by its path, and whether it is a poison request.
func poisonContent(path string) (content string, marked bool) {
	return strings.CutPrefix(path, poisonPath)
}

// runPoison ends the backend server that runs a request with a content or a part of which more than maxEnds servers must
// not end. A server that leaves or has ended
// already breaks off instead.
func (b *backend) runPoison(content string, maxEnds int, id string) {
	w := b.world
	w.recordPoisonSend(content, maxEnds, id)
	time.Sleep(time.Duration(10+rand.IntN(100)) * time.Millisecond)
	if b.leavingAt.CompareAndSwap(0, -1) {
		b.recordEnded()
		w.recordPoisonEnd(content, maxEnds)
		w.replacing.start(func() { w.replaceEnded(b) })
	}
	panic(http.ErrAbortHandler)
}

// replaceEnded ends a backend server at once and replaces it some seconds later. Like the end of a process, it closes the
// server's connections in order or resets them.
func (w *World) replaceEnded(b *backend) {
	w.beginUnplanned(b)()
	if rand.IntN(2) == 0 {
		b.relay.CloseInOrder()
	}
	b.close()
	time.Sleep(time.Second + time.Duration(rand.Int64N(int64(2*time.Second))))
	w.store.Unregister(b.name)
	w.replaceBackend(b, b.version)
}

// recordPoisonSend checks the arrival of a poison request at a backend server.
func (w *World) recordPoisonSend(content string, maxEnds int, id string) {
	p := w.poison
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.senders[id]
	since := w.recorder.elapsed() - p.reached[content]
	if p.ends[content] < maxEnds || since < poisonContact || i == nil || i.disturbedSince(w.recorder.elapsed()-poisonContact) {
		return
	}
	p.lateSends[content]++
	w.recorder.count("late poison sends")
	if p.lateSends[content] > poisonSlack {
		w.recorder.recordViolation("a request that ends servers is not sent on", id,
			fmt.Sprintf("%s, by %s, %v after the end that began the bound, %d ended", content, i.name, since, p.ends[content]))
	}
}

func (w *World) recordPoisonEnd(content string, maxEnds int) {
	p := w.poison
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ends[content]++
	if p.ends[content] == maxEnds {
		p.reached[content] = w.recorder.elapsed()
	}
	w.recorder.count("servers ended by requests")
}

// sendPoisonRequests sends poison requests until ctx ends.
func (w *World) sendPoisonRequests(ctx context.Context) {
	var senders sync.WaitGroup
	defer senders.Wait()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(poisonInterval / 2):
		}
		if number%2 == 0 {
			senders.Go(func() { w.repeatPoison(ctx, number) })
		} else {
			senders.Go(func() { w.repeatBadPart(ctx, number) })
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(poisonInterval / 2):
		}
	}
}

// repeatPoison sends a poison request again and again, each time to a random instance.
func (w *World) repeatPoison(ctx context.Context, number int) {
	ctx, cancel := context.WithTimeout(ctx, poisonDuration)
	defer cancel()
	random := rand.New(rand.NewPCG(w.options.Seed, uint64(2000+number)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for n := 0; ctx.Err() == nil; n++ {
		w.sendPoison(ctx, client, w.chooseInstance(random), fakeplatform.Call{
			Path: fmt.Sprint(poisonPath, number), ID: fmt.Sprintf("p%d-%d", number, n), Body: "the same each time",
		})
		select {
		case <-ctx.Done():
		case <-time.After(randomDuration(random, 50*time.Millisecond, 400*time.Millisecond)):
		}
	}
}

// sendPoison sends a request that ends servers to an instance.
func (w *World) sendPoison(ctx context.Context, client *http.Client, i *instance, call fakeplatform.Call) {
	w.poison.mu.Lock()
	w.poison.senders[call.ID] = i
	w.poison.mu.Unlock()
	w.zones.recordSender(call.ID, i)
	call.Address, call.Host, call.Key, call.Timeout = i.listen, routeHost, callerKey, callerTimeout
	req, err := fakeplatform.NewRequest(ctx, call)
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusServiceUnavailable {
		w.recorder.recordRefusal(call.ID, fmt.Sprintf("%s at %s", resp.Status, i.name))
		w.recorder.count("poison requests refused")
	}
}
