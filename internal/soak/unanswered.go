package soak

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptrace"
	"os"
	"slices"
	"strings"
	"time"
)

// A request that an instance has read whole and not passed on ends with a response, or its connection ends at once. The
// caller then knows in time that it may send the request elsewhere.

// unansweredSlack is how long after the last byte of such a request its connection may end without a response.
const unansweredSlack = 200 * time.Millisecond

// recordWholeSent records that the last byte of a request was sent.
func (w *World) recordWholeSent(id string) {
	l := w.lost
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.requests[id]; p != nil {
		p.wholeAt = w.recorder.elapsed()
	}
}

// traceWholeSent makes the HTTP client record that the last byte of a request was sent.
func (w *World) traceWholeSent(req *http.Request, id string) *http.Request {
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			w.recordWholeSent(id)
		}
	}}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}

// checkUnanswered reports the requests that reached no backend server and whose connections ended late without a response.
func (w *World) checkUnanswered() {
	l := w.lost
	l.mu.Lock()
	defer l.mu.Unlock()
	judged := 0
	inOrder := slices.SortedFunc(maps.Values(l.requests), func(a, b *passage) int { return cmp.Compare(a.sentAt, b.sentAt) })
	for _, p := range inOrder {
		if p.wholeAt == 0 || len(l.runs[p.id]) > 0 || l.unplanned(p, nil) {
			continue
		}
		judged++
		if p.cut == "" || p.answered {
			continue
		}
		if why := l.excuseUnanswered(p); why != "" {
			w.recorder.count("unanswered " + why)
			continue
		}
		w.recorder.recordViolationAt(p.endedAt, "a request that was not passed on is answered or its connection ends", p.id,
			fmt.Sprintf("%.3f s after its last byte; %s%s", (p.endedAt-p.wholeAt).Seconds(), l.describe(p, nil), p.instance.loggedCloses(p.id)))
	}
	w.recorder.add("not passed on without unplanned faults", judged)
}

// excuseUnanswered says why the connection of a request could end without a response, "" if it could not.
func (l *lostRecorder) excuseUnanswered(p *passage) string {
	switch {
	case p.endedAt-p.wholeAt <= unansweredSlack:
		return "within the slack"
	case p.endedAt-p.sentAt >= l.timeoutOf(p):
		return "at the timeout"
	case l.behindUnplanned(p):
		return "behind a response that an unplanned fault broke off"
	default:
		return ""
	}
}

// behindUnplanned reports whether an unplanned fault touched the request before on the connection, whose response was cut. The
// connection must end there: that response must not look whole.
func (l *lostRecorder) behindUnplanned(p *passage) bool {
	ahead := l.requests[p.behindCut]
	return ahead != nil && l.unplanned(ahead, l.runs[ahead.id])
}

// loggedCloses returns the instance's log lines about the connection of a request that closed without a response.
func (i *instance) loggedCloses(id string) string {
	text, err := os.ReadFile(i.settings + ".log")
	if err != nil {
		return "; log: " + err.Error()
	}
	var found strings.Builder
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, "without a response") && strings.Contains(line, id+".") {
			found.WriteString("; log: " + strings.TrimSpace(line))
		}
	}
	return found.String()
}
