package core_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/ebonydyke/ebonydyke/test/fixedseed"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

const propertyText = `{"services":[{"name":"notes","kind":"plain","max_attempts":3,"deadline":"10s","capacity":4,
"backend_servers":[{"name":"a","address":"10.0.0.1:1","zone":"z"},{"name":"b","address":"10.0.0.2:1","zone":"z"}%s]}],
"customers":[{"name":"c"}],"claims":{"window":"1h"}}`

// sentAttempt is one attempt as the backend servers see it.
type sentAttempt struct {
	backend string
	resume  bool
	// outcome is empty while the attempt is open.
	outcome retry.Outcome
}

func (a sentAttempt) mayHaveRun() bool { return a.outcome == "" || a.outcome.MayHaveRun() }

// watched is what the test knows of one request.
type watched struct {
	arrived  core.RequestArrived
	attempts []sentAttempt
	started  bool
	ends     int
}

func (w *watched) mayHaveRun() bool {
	for _, a := range w.attempts {
		if a.mayHaveRun() {
			return true
		}
	}
	return false
}

// schedule drives a node through events in any order and checks each effect.
type schedule struct {
	t        *rapid.T
	node     *core.Node
	now      time.Time
	requests []*watched
	byID     map[core.RequestID]*watched
	store    *claimStore
	stopped  bool
	config   uint64
}

// A committee is told that its approval note did not run, sends it once more, and
// the note stands twice. The first attempt had ended in a way that leaves open
// whether it ran, or had not ended at all. Over any order of ends (late, double, of
// old attempts), leavers, deadlines, configurations and a stop: "not-run" is said
// only if no attempt may have run, a non-idempotent request has at most one attempt
// that may have run, and each request gets one final answer.
func TestRefusalsAreTrue(t *testing.T) {
	// A check plays a hundred schedules; a claim released too early showed in the
	// 309th.
	for range 20 {
		rapid.Check(t, playSchedule)
	}
}

func playSchedule(t *rapid.T) {
	s := &schedule{
		t:     t,
		node:  core.New(core.Settings{Name: "entry-1", Zone: "z", Seed: rapid.Uint64().Draw(t, "seed"), AcceptDelay: time.Second}),
		now:   time.Unix(1_000_000, 0).UTC(),
		byID:  make(map[core.RequestID]*watched),
		store: &claimStore{values: make(map[string]storeValue)},
	}
	s.offerConfig(t)
	t.Repeat(map[string]func(*rapid.T){
		"arrive": s.arrive,
		"end":    s.endAttempt,
		"start":  s.startAnswer,
		"gone":   s.callerGone,
		"tick":   s.tick,
		"store":  s.answerStore,
		"config": s.offerConfig,
		"stop":   func(*rapid.T) { s.handle(core.StopRequested{}) },
	})
	s.finishAll()
}

func (s *schedule) arrive(t *rapid.T) {
	w := &watched{arrived: core.RequestArrived{
		Request:       core.RequestID(fmt.Sprintf("r%d", len(s.requests)+1)),
		Customer:      "c",
		Service:       "notes",
		NonIdempotent: rapid.Bool().Draw(t, "non-idempotent"),
	}}
	w.arrived.Key = rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(t, "key")
	if rapid.Bool().Draw(t, "deadline") {
		w.arrived.Deadline = s.now.Add(time.Duration(rapid.IntRange(-1, 5000).Draw(t, "ms")) * time.Millisecond)
	}
	s.requests = append(s.requests, w)
	s.byID[w.arrived.Request] = w
	s.handle(w.arrived)
}

// pick draws a request and the number of one of its attempts, an old one too.
func (s *schedule) pick(t *rapid.T) (*watched, int) {
	if len(s.requests) == 0 {
		s.arrive(t)
	}
	w := rapid.SampledFrom(s.requests).Draw(t, "request")
	return w, rapid.IntRange(1, max(1, len(w.attempts))).Draw(t, "attempt")
}

func (s *schedule) endAttempt(t *rapid.T) {
	w, n := s.pick(t)
	outcomes := []retry.Outcome{retry.NotSent, retry.Refused, retry.Unknown, retry.Answered, retry.Broken}
	event := core.AttemptEnded{
		Request: w.arrived.Request,
		Attempt: n,
		Outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome"),
	}
	if event.Outcome == retry.Broken && rapid.Bool().Draw(t, "resumable") {
		event.LastEventID = "7"
	}
	if n <= len(w.attempts) && w.attempts[n-1].outcome == "" {
		w.attempts[n-1].outcome = event.Outcome
		if event.Outcome == retry.Answered && w.ends == 0 {
			w.ends++
		}
	}
	s.handle(event)
}

func (s *schedule) startAnswer(t *rapid.T) {
	w, n := s.pick(t)
	if n == len(w.attempts) && w.attempts[n-1].outcome == "" && w.ends == 0 {
		w.started = true
	}
	s.handle(core.AnswerStarted{Request: w.arrived.Request, Attempt: n})
}

func (s *schedule) callerGone(t *rapid.T) {
	w, _ := s.pick(t)
	s.handle(core.CallerGone{Request: w.arrived.Request})
}

func (s *schedule) tick(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	s.handle(core.Ticked{})
}

// readOnly marks a read among the store's calls: no swap expects that version.
const readOnly = math.MaxUint64

// storeValue is one key of the platform's store.
type storeValue struct {
	version uint64
	value   []byte
}

// claimStore stands in for the platform's store. Its calls are answered in any
// order, and a write may be lost, or take effect while its answer is lost.
type claimStore struct {
	values map[string]storeValue
	calls  []core.StoreSwap
}

func (s *schedule) answerStore(t *rapid.T) {
	st := s.store
	if len(st.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(st.calls)-1).Draw(t, "call")
	call := st.calls[i]
	st.calls = slices.Delete(st.calls, i, i+1)
	fate := rapid.SampledFrom([]string{"served", "served", "served", "unsent", "lost", "answer lost"}).Draw(t, "fate")
	reply := core.StoreReplied{Op: call.Op, Status: core.StoreUnknown}
	switch fate {
	case "unsent":
		reply.Status = core.StoreFailed
	case "served":
		reply = st.serve(call)
	case "answer lost":
		st.serve(call)
	}
	s.handle(reply)
}

func (st *claimStore) serve(call core.StoreSwap) core.StoreReplied {
	old, exists := st.values[call.Key]
	switch {
	case call.Version == readOnly && !exists:
		return core.StoreReplied{Op: call.Op, Status: core.StoreAbsent}
	case call.Version == readOnly:
		return core.StoreReplied{Op: call.Op, Status: core.StoreOK, Version: old.version, Value: old.value}
	case call.Version != old.version:
		return core.StoreReplied{Op: call.Op, Status: core.StoreConflict}
	}
	st.values[call.Key] = storeValue{version: old.version + 1, value: slices.Clone(call.Value)}
	return core.StoreReplied{Op: call.Op, Status: core.StoreOK, Version: old.version + 1}
}

func (s *schedule) offerConfig(t *rapid.T) {
	third := ""
	if rapid.Bool().Draw(t, "third server") {
		third = `,{"name":"c","address":"10.0.0.3:1","zone":"z"}`
	}
	s.config++
	s.handle(core.ConfigOffered{Envelope: config.Envelope{Generation: s.config, Text: fmt.Sprintf(propertyText, third)}})
}

// finishAll lets every deadline pass and checks that each request ended once.
func (s *schedule) finishAll() {
	s.handle(core.StopRequested{})
	for range 2 {
		s.now = s.now.Add(time.Hour)
		s.handle(core.Ticked{})
	}
	for _, w := range s.requests {
		if w.ends != 1 {
			s.t.Fatalf("%s got %d final answers", w.arrived.Request, w.ends)
		}
	}
	if !s.stopped {
		s.t.Fatalf("a request is left in the node")
	}
}

func (s *schedule) handle(event core.Event) {
	for _, effect := range s.node.Handle(s.now, event) {
		switch e := effect.(type) {
		case core.SendAttempt:
			s.checkSend(s.byID[e.Request], e)
		case core.Finish:
			s.checkFinish(s.byID[e.Request], e)
		case core.StoreGet:
			s.store.calls = append(s.store.calls, core.StoreSwap{Op: e.Op, Key: e.Key, Version: readOnly})
		case core.StoreSwap:
			s.store.calls = append(s.store.calls, e)
		case core.Stopped:
			s.stopped = true
		}
	}
}

func (s *schedule) checkSend(w *watched, e core.SendAttempt) {
	resume := e.ResumeAfter != ""
	switch last := len(w.attempts); {
	case w.ends > 0:
		s.t.Fatalf("%s: attempt after the final answer", e.Request)
	case e.Attempt != last+1 || e.Attempt > 3:
		s.t.Fatalf("%s: attempt %d after %d", e.Request, e.Attempt, last)
	case last > 0 && w.attempts[last-1].outcome == "":
		s.t.Fatalf("%s: two attempts at once", e.Request)
	case resume && e.Backend != w.attempts[last-1].backend:
		s.t.Fatalf("%s: resumed on another backend server", e.Request)
	case !resume && w.started:
		s.t.Fatalf("%s: run again after its answer began", e.Request)
	case !resume && w.arrived.NonIdempotent && s.keyMayHaveRun(w):
		s.t.Fatalf("%s: may run twice", e.Request)
	}
	w.attempts = append(w.attempts, sentAttempt{backend: e.Backend, resume: resume})
}

// keyMayHaveRun tells whether the request, or another one with its key, may have run.
func (s *schedule) keyMayHaveRun(w *watched) bool {
	if w.mayHaveRun() {
		return true
	}
	for _, other := range s.requests {
		if w.arrived.Key != "" && other.arrived.NonIdempotent && other.arrived.Key == w.arrived.Key && other.mayHaveRun() {
			return true
		}
	}
	return false
}

func (s *schedule) checkFinish(w *watched, e core.Finish) {
	w.ends++
	if w.ends > 1 {
		s.t.Fatalf("%s: second final answer", e.Request)
	}
	if e.Outcome == reason.NotRun && w.mayHaveRun() {
		s.t.Fatalf("%s: said not-run, attempts %+v", e.Request, w.attempts)
	}
	if e.Outcome != reason.Duplicate && e.RetryAfter <= 0 {
		s.t.Fatalf("%s: no time to come back", e.Request)
	}
}
