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
	"sync"
	"syscall"
	"time"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

const (
	// maxStreamTries is the number of requests that a caller sends for one stream.
	maxStreamTries = 4
	// maxLeaveAfter is the number of events within which a caller breaks its connection, for one stream in
	// leaveOdds.
	maxLeaveAfter, leaveOdds = 60, 4
	// contactTime is the time without a disturbance after which callers who continue a stream count.
	contactTime = 3 * time.Second
	// minContinued is the number of continued streams from which their share is checked, and
	// minContinuedShare the least share of them that goes on, as a part of the share of new streams that begin.
	minContinued, minContinuedShare = 12, 0.5
	// minServing is the number of servers of its version from which a continued stream counts.
	minServing = 2
)

// softwareVersions are the versions between which releases change.
var softwareVersions = []string{"v1", "v1.1", "v1.2"}

// streamRecorder counts the streams that begin and those that callers continue.
type streamRecorder struct {
	mu               sync.Mutex
	begun, continued streamCount
	// sharing and others count new streams while requests with a bad part come: those that share their first part, and
	// the rest. troubled is that part.
	sharing, others streamCount
	troubled        string
	// crowded and beside count new streams while most requests reach one instance: those that do, and the others.
	crowded, beside streamCount
}

// setTroubled sets the first part that bad requests share with sound ones now, "" for none.
func (r *streamRecorder) setTroubled(first string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.troubled = first
}

// sharingCount returns the count for a new stream by its first part, nil if no bad requests come.
func (r *streamRecorder) sharingCount(first string) *streamCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.troubled {
	case "":
		return nil
	case first:
		return &r.sharing
	default:
		return &r.others
	}
}

// streamCount counts requests, and those of them that brought an event.
type streamCount struct{ sent, served int }

func (c streamCount) share() float64 { return float64(c.served) / float64(max(1, c.sent)) }

// callerStream is a stream as its caller sees it.
type callerStream struct {
	// name determines the events.
	name string
	// first is the ID of the request that brought the first event, and version its version.
	first, version string
	received       int
	// parts are the parts of the prompt.
	parts []string
	// leaveAfter is the number of events after which the caller breaks its connection once; 0 for never.
	leaveAfter int
	// isFirstTry is set until its first request, and from a restart of all instances that breaks it until the next one.
	isFirstTry bool
}

// runStream receives a stream, and continues it at other instances if it breaks.
func (w *World) runStream(ctx context.Context, client *http.Client, random *rand.Rand, id string) {
	s := &callerStream{name: id, parts: soundPrompt(random, id), isFirstTry: true}
	if random.IntN(leaveOdds) == 0 {
		s.leaveAfter = 1 + random.IntN(maxLeaveAfter)
	}
	for sent, tries := 0, 0; tries < maxStreamTries; sent++ {
		kills := w.restarts.kills.Load()
		i := w.chooseInstance(random)
		if w.receiveStream(ctx, client, i, s, fmt.Sprintf("%s.%d", id, sent)) || ctx.Err() != nil {
			return
		}
		if w.awaitRestart(ctx, random, s, kills) {
			tries = 0
			continue
		}
		tries++
		time.Sleep(time.Duration(20+random.IntN(100)) * time.Millisecond)
	}
}

// nextCall returns the next request for a stream.
func (s *callerStream) nextCall(i *instance, id string) fakeplatform.Call {
	call := fakeplatform.Call{
		Address: i.listen, Host: routeHost, Path: "/" + kindStream + "/" + s.name, ID: id, Key: callerKey, Timeout: callerTimeout,
		Parts: s.parts,
	}
	if s.received > 0 {
		call.Continues, call.ResumeAfter = s.first, strconv.Itoa(s.received)
	}
	return call
}

// receiveStream sends one request for a stream, or for the rest of it, and reports whether the stream is
// complete or the caller may not ask again.
func (w *World) receiveStream(ctx context.Context, client *http.Client, i *instance, s *callerStream, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	req, err := fakeplatform.NewRequest(ctx, s.nextCall(i, id))
	if err != nil {
		return true
	}
	count, restarted := w.streamCountFor(s, i), w.restartCountFor(s)
	isNew := s.received == 0
	startedAt, before := w.recorder.elapsed(), s.received
	unread := false
	defer func() {
		w.countRestarted(ctx, s, restarted, s.received > before)
		if isNew && !unread && !i.disturbedSince(startedAt-contactTime) {
			w.countStream(w.streams.sharingCount(s.parts[0]), s.received > before)
			w.countCrowded(i, s.received > before)
		}
	}()
	w.recordSent(i, kindStream, id)
	w.ended.recordParts(id, s.parts)
	defer w.beginRequest(i, kindStream, id)()
	resp, err := client.Do(w.traceWholeSent(req, id))
	w.checkResponseTime(i, id, startedAt, err)
	if err != nil {
		w.recordCut(id, err)
		// An instance that is leaving refuses connections. A later try reaches another one.
		unread = errors.Is(err, syscall.ECONNREFUSED)
		w.recorder.count("no answer")
		w.countStream(count, false)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		w.checkResponse(i, kindStream, id, resp)
		w.countStream(count, false)
		return false
	}
	if fakeplatform.SealOf(resp) != expectedSeal(id) {
		w.recorder.recordViolation("the own answer", id, "another server's mark")
		return true
	}
	complete := w.readEvents(s, id, resp.Body)
	w.countStream(count, s.received > before)
	return complete
}

// readEvents reads the events of a response and checks their order, data and version, and that a stream that
// ends without an error is complete.
func (w *World) readEvents(s *callerStream, id string, body io.Reader) bool {
	lines := bufio.NewScanner(body)
	pending := 0
	for lines.Scan() {
		if number, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			if pending, _ = strconv.Atoi(number); pending != s.received+1 {
				w.recorder.recordViolation("events in order", id, fmt.Sprintf("%s after %d", number, s.received))
				return true
			}
			continue
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || pending == s.received {
			continue
		}
		if !w.checkEvent(s, id, pending, data) {
			return true
		}
		if s.received == s.leaveAfter {
			s.leaveAfter = 0
			w.recordLeft(id)
			return false
		}
	}
	switch {
	case lines.Err() != nil:
		w.recorder.count("broken off")
		w.recordCut(id, lines.Err())
		return false
	case s.received != expectedEventCount(s.name):
		w.recorder.recordViolation("the whole answer", id, fmt.Sprintf("%d of %d events", s.received, expectedEventCount(s.name)))
	default:
		w.recorder.count("answered")
		w.recordWhole(id)
	}
	return true
}

// checkEvent checks one event and records it as received.
func (w *World) checkEvent(s *callerStream, id string, number int, data string) bool {
	text, version, _ := strings.Cut(data, "@")
	if text != expectedEvent(s.name, number) {
		w.recorder.recordViolation("the own answer", id, "event "+data)
		return false
	}
	if s.first == "" {
		s.first, s.version = id, version
	}
	if version != s.version {
		w.recorder.recordViolation("a stream keeps its software version", id, fmt.Sprintf("begun by %s at %s, event %d of %s", s.first, s.version, number, version))
		return false
	}
	s.received = number
	w.recordBegun(id)
	return true
}

// streamCountFor returns the count in which a request counts, nil if its instance or the fleet was
// disturbed lately, or if fewer than two backend servers can continue the stream.
func (w *World) streamCountFor(s *callerStream, i *instance) *streamCount {
	if !w.undisturbedFor(0) || i.disturbedSince(w.recorder.elapsed()-contactTime) {
		return nil
	}
	if s.received == 0 {
		return &w.streams.begun
	}
	if w.serversOf(s.version) < minServing {
		return nil
	}
	return &w.streams.continued
}

// serversOf returns the number of backend servers that can continue a stream of a version.
func (w *World) serversOf(version string) int {
	serving := 0
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.backends {
		if b.leavingAt.Load() == 0 && b.version == version && b.warmUpLeft() == 0 && !w.zones.isEvacuated(b.zone) {
			serving++
		}
	}
	return serving
}

func (w *World) countStream(c *streamCount, served bool) {
	if c == nil {
		return
	}
	w.streams.mu.Lock()
	defer w.streams.mu.Unlock()
	c.sent++
	if served {
		c.served++
	}
}

// checkContinuedStreams checks that the streams that callers continue go on about as often as new ones begin.
func (w *World) checkContinuedStreams() {
	begun, continued := w.streams.begun, w.streams.continued
	if continued.sent >= minContinued && continued.share() < minContinuedShare*begun.share() {
		w.recorder.recordViolation("a continued stream goes on", "all", fmt.Sprintf("%d of %d, of new ones %d of %d", continued.served, continued.sent, begun.served, begun.sent))
	}
	w.recorder.add("streams continued", continued.sent)
}

// release changes the version of the backend servers that are started in place of drained ones.
func (w *World) release(p faultParams) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = softwareVersions[p.random.IntN(len(softwareVersions))]
}

// restartUnderName ends a backend server at once and starts another process under its name, with the version of
// the last release.
func (w *World) restartUnderName(p faultParams) {
	server := w.randomBackend(p)
	if server == nil {
		return
	}
	server.leavingAt.Store(-1)
	server.close()
	time.Sleep(p.duration / 8)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.startBackend(server.name, server.zone, w.version, w.warmUp().Duration); err != nil {
		w.recorder.count("backend server not replaced")
	}
}
