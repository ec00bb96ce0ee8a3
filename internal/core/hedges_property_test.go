package core_test

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

const hedgeConfig = `{"services":[{"name":"notes","kind":"plain","capacity":4,"retry_share":0.2,"retry_burst":%d,"backend_servers":[
{"name":"a","address":"10.0.0.1:1","zone":"z"},{"name":"b","address":"10.0.0.2:1","zone":"z"},{"name":"c","address":"10.0.0.3:1","zone":"y"}%s]}],
"customers":[{"name":"c","api_keys":["key-1"]}],
"routes":[
{"name":"twice","host":"h.example","prefix":"/twice/","kind":"idempotent","max_runs":2,%[3]s},
{"name":"thrice","host":"h.example","prefix":"/thrice/","kind":"idempotent","max_runs":3,%[3]s},
{"name":"stream-twice","host":"h.example","prefix":"/stream-twice/","kind":"stream","resumable":true,"max_runs":2,%[3]s},
{"name":"stream-thrice","host":"h.example","prefix":"/stream-thrice/","kind":"stream","resumable":true,"max_runs":3,%[3]s},
{"name":"stream-once","host":"h.example","prefix":"/stream-once/","kind":"stream",%[3]s},
{"name":"once","host":"h.example","prefix":"/once/","kind":"non_idempotent",%[3]s}]}`

const (
	// hedgeTimeout is the timeout of the routes.
	hedgeTimeout = 10 * time.Second
	hedgeRoute   = `"timeout":"10s","goal":"300ms","pause_goal":"250ms","split":[{"service":"notes","weight":1}]`
)

// hedgePath is a path of requests, and the number of runs that its route allows.
type hedgePath struct {
	path   string
	runs   int
	stream bool
}

var hedgePaths = []hedgePath{
	{path: "/twice/", runs: 2},
	{path: "/thrice/", runs: 3},
	{path: "/stream-twice/", runs: 2, stream: true},
	{path: "/stream-thrice/", runs: 3, stream: true},
	{path: "/stream-once/", runs: 1, stream: true},
	{path: "/once/", runs: 1},
}

// raceAttempt is an attempt as the proxy knows it.
type raceAttempt struct {
	number                        int
	backend                       string
	silent, superseded, cancelled bool
	// delivered is set once the caller has got something from it, and unsent if nothing of the request was sent.
	delivered, unsent bool
	// outcome is empty while the attempt is in progress.
	outcome retry.Outcome
}

func (a *raceAttempt) inProgress() bool { return a.outcome == "" }
func (a *raceAttempt) mayHaveRun() bool { return a.inProgress() || a.outcome.MayHaveRun() && !a.unsent }

// mayDeliver reports whether what the attempt reads may still reach the caller.
func (a *raceAttempt) mayDeliver() bool { return a.inProgress() && !a.superseded && !a.cancelled }

// racedRequest is a request whose attempts run beside each other.
type racedRequest struct {
	id       core.RequestID
	path     hedgePath
	deadline time.Time
	attempts []*raceAttempt
	// events are those that the caller has.
	events int
	gone   bool
	ends   int
}

// lastEventID returns the ID of the last event that the caller has, if another attempt can go on after it.
func (r *racedRequest) lastEventID() string {
	if !r.path.stream || r.path.runs == 1 || r.events == 0 {
		return ""
	}
	return strconv.Itoa(r.events)
}

// over reports whether nothing can reach the caller any more.
func (r *racedRequest) over() bool { return r.ends > 0 || r.gone }

// raceSchedule drives a node through a random sequence of the events of hedged requests, and checks each effect.
type raceSchedule struct {
	t        *rapid.T
	node     *core.Node
	now      time.Time
	requests []*racedRequest
	quiet    []string
	// servers are those of the configuration, and unreached those that some attempt has not reached.
	servers, unreached []string
	generation         uint64
	stopped            bool
	hedges             int
}

// Guards against requests that are given up while an attempt is in progress, run more often than their route allows, get two
// final answers or leave a load behind, whatever the order in which attempts are silent, deliver and end.
func TestHedgedRequestsEndOnce(t *testing.T) {
	hedges := 0
	checkSeeds(t, 20, func(t *rapid.T) { hedges += playRace(t) })
	t.Logf("%d hedges in all schedules", hedges)
	// There are fewer cases with the race detector.
	require.GreaterOrEqual(t, hedges, racedetector.Choose(1000, 200))
}

// checkSeeds checks a property with a number of seeds in a row. A fixed seed would make each check play the same schedules.
func checkSeeds(t *testing.T, seeds int, property func(*rapid.T)) {
	t.Helper()
	seed := flag.Lookup("rapid.seed").Value
	first, err := strconv.ParseUint(seed.String(), 10, 64)
	require.NoError(t, err)
	for i := range seeds {
		if first != 0 {
			require.NoError(t, seed.Set(strconv.FormatUint(first+uint64(i), 10)))
		}
		rapid.Check(t, property)
	}
	require.NoError(t, seed.Set(strconv.FormatUint(first, 10)))
}

func playRace(t *rapid.T) (hedges int) {
	s := &raceSchedule{
		t: t, now: epoch,
		node: core.New(core.Settings{Name: "entry-1", Zone: "z", Seed: rapid.Uint64().Draw(t, "seed"), AcceptDelay: time.Second}),
	}
	s.offerConfig(t)
	t.Repeat(map[string]func(*rapid.T){
		"arrive":       s.arrive,
		"silent":       s.silent,
		"silent again": s.silent,
		"deliver":      s.deliver,
		"complete":     s.complete,
		"end":          s.endAttempt,
		"end again":    s.endAttempt,
		"gone":         s.callerGone,
		"tick":         s.tick,
		"config":       s.offerConfig,
	})
	s.finishAll()
	return s.hedges
}

func (s *raceSchedule) offerConfig(t *rapid.T) {
	fourth := ""
	s.servers = []string{"a", "b", "c"}
	if rapid.Bool().Draw(t, "fourth server") {
		s.servers = append(s.servers, "d")
		fourth = `,{"name":"d","address":"10.0.0.4:1","zone":"y"}`
	}
	s.generation++
	text := fmt.Sprintf(hedgeConfig, rapid.SampledFrom([]int{4, 400}).Draw(t, "burst"), fourth, hedgeRoute)
	s.handle(core.ConfigOffered{Envelope: config.Envelope{Generation: s.generation, Text: text}})
}

func (s *raceSchedule) arrive(t *rapid.T) {
	r := &racedRequest{
		id: core.RequestID(fmt.Sprintf("r%d", len(s.requests)+1)), path: rapid.SampledFrom(hedgePaths).Draw(t, "path"),
		deadline: s.now.Add(hedgeTimeout),
	}
	s.requests = append(s.requests, r)
	s.handle(core.RequestArrived{Request: r.id, Host: "h.example", Path: r.path.path + "x", APIKey: "key-1", NonIdempotent: r.path.runs == 1})
}

// pick draws an attempt in progress, nil if there is none.
func (s *raceSchedule) pick(t *rapid.T, fits func(*racedRequest, *raceAttempt) bool) (*racedRequest, *raceAttempt) {
	type pair struct {
		r *racedRequest
		a *raceAttempt
	}
	var pairs []pair
	for _, r := range s.requests {
		for _, a := range r.attempts {
			if a.inProgress() && fits(r, a) {
				pairs = append(pairs, pair{r, a})
			}
		}
	}
	if len(pairs) == 0 {
		s.arrive(t)
		return nil, nil
	}
	chosen := pairs[rapid.IntRange(0, len(pairs)-1).Draw(t, "attempt")]
	return chosen.r, chosen.a
}

func canDeliver(r *racedRequest, a *raceAttempt) bool { return a.mayDeliver() && !r.over() }

func (s *raceSchedule) silent(t *rapid.T) {
	r, a := s.pick(t, canDeliver)
	if a == nil {
		return
	}
	a.silent = true
	s.quiet = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 2, rapid.ID).Draw(t, "quiet")
	slices.Sort(s.quiet)
	s.handle(core.AttemptSilent{Request: r.id, Attempt: a.number, LastEventID: r.lastEventID(), Quiet: s.quiet})
}

// supersedeOthers marks the attempts that an attempt has overtaken.
func (r *racedRequest) supersedeOthers(a *raceAttempt) {
	for _, other := range r.attempts {
		if other != a && other.inProgress() {
			other.superseded = true
		}
	}
}

// deliver passes an event of a stream on to the caller.
func (s *raceSchedule) deliver(t *rapid.T) {
	r, a := s.pick(t, func(r *racedRequest, a *raceAttempt) bool { return canDeliver(r, a) && r.path.stream })
	if a == nil {
		return
	}
	r.supersedeOthers(a)
	r.events++
	a.silent, a.delivered = false, true
	if r.events == 1 {
		s.handle(core.AnswerStarted{Request: r.id, Attempt: a.number})
	}
}

// complete ends a request with its whole answer.
func (s *raceSchedule) complete(t *rapid.T) {
	r, a := s.pick(t, canDeliver)
	if a == nil {
		return
	}
	r.supersedeOthers(a)
	a.outcome = retry.Answered
	r.ends++
	s.handle(core.AttemptEnded{Request: r.id, Attempt: a.number, Outcome: retry.Answered})
}

// endAttempt ends an attempt without a whole answer.
func (s *raceSchedule) endAttempt(t *rapid.T) {
	r, a := s.pick(t, func(*racedRequest, *raceAttempt) bool { return true })
	if a == nil {
		return
	}
	event := core.AttemptEnded{Request: r.id, Attempt: a.number}
	switch {
	case a.superseded:
		event.Outcome = retry.Superseded
		event.Unsent = !a.delivered && rapid.Bool().Draw(t, "unsent")
		a.unsent = event.Unsent
	case a.delivered:
		event.Outcome, event.LastEventID = retry.Broken, r.lastEventID()
	default:
		event.Outcome = rapid.SampledFrom([]retry.Outcome{retry.NotSent, retry.Refused, retry.Unknown, retry.Broken, retry.Failed}).Draw(t, "outcome")
	}
	a.outcome = event.Outcome
	if event.Outcome == retry.NotSent {
		s.unreached = append(s.unreached, a.backend)
	}
	s.handle(event)
}

func (s *raceSchedule) callerGone(t *rapid.T) {
	r, a := s.pick(t, func(r *racedRequest, _ *raceAttempt) bool { return !r.over() })
	if a == nil {
		return
	}
	r.gone = true
	s.handle(core.CallerGone{Request: r.id})
	for _, a := range r.attempts {
		if a.inProgress() && !a.cancelled {
			t.Fatalf("%s: attempt %d goes on without a caller", r, a.number)
		}
	}
}

func (s *raceSchedule) tick(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
	s.handle(core.Ticked{})
}

// finishAll advances the time past all deadlines and checks what is left.
func (s *raceSchedule) finishAll() {
	s.handle(core.StopRequested{})
	for range 3 {
		s.now = s.now.Add(hedgeTimeout)
		s.handle(core.Ticked{})
	}
	for _, r := range s.requests {
		if r.ends != 1 {
			s.t.Fatalf("%s got %d final answers", r, r.ends)
		}
	}
	for _, service := range s.node.Status().Services {
		for _, b := range service.Backends {
			if b.Own != 0 {
				s.t.Fatalf("%d requests are left at %s", b.Own, b.Name)
			}
		}
	}
	if !s.stopped {
		s.t.Fatalf("the node did not stop: a request is left")
	}
}

func (s *raceSchedule) find(id core.RequestID) *racedRequest {
	return s.requests[slices.IndexFunc(s.requests, func(r *racedRequest) bool { return r.id == id })]
}

func (s *raceSchedule) handle(event core.Event) {
	for _, effect := range s.node.Handle(s.now, event) {
		switch e := effect.(type) {
		case core.SendAttempt:
			s.checkSend(s.find(e.Request), e)
		case core.CancelAttempt:
			for _, a := range s.find(e.Request).attempts {
				a.cancelled = a.cancelled || a.number <= e.Attempt
			}
		case core.Finish:
			s.checkFinish(s.find(e.Request), e)
		case core.Stopped:
			s.stopped = true
		}
	}
}

func (s *raceSchedule) checkSend(r *racedRequest, e core.SendAttempt) {
	runs := 1
	for _, a := range r.attempts {
		switch {
		case a.inProgress() && !e.Hedge:
			s.t.Fatalf("%s: attempt %d beside attempt %d is no hedge", r, e.Attempt, a.number)
		case a.inProgress() && !a.silent:
			s.t.Fatalf("%s: hedge %d beside attempt %d, which is not silent", r, e.Attempt, a.number)
		case a.inProgress() && a.backend == e.Backend:
			s.t.Fatalf("%s: hedge %d at the server of attempt %d", r, e.Attempt, a.number)
		}
		if a.mayHaveRun() {
			runs++
		}
	}
	switch {
	case r.over():
		s.t.Fatalf("%s: attempt %d after the final answer", r, e.Attempt)
	case e.Attempt != len(r.attempts)+1:
		s.t.Fatalf("%s: attempt %d", r, e.Attempt)
	case runs > r.path.runs:
		s.t.Fatalf("%s: attempt %d may be run %d of %d", r, e.Attempt, runs, r.path.runs)
	case e.ResumeAfter != r.lastEventID():
		s.t.Fatalf("%s: attempt %d resumes after %q", r, e.Attempt, e.ResumeAfter)
	case e.Hedge && slices.Contains(s.quiet, e.Backend) && s.leavesOut(r) != "":
		s.t.Fatalf("%s: hedge %d at %s, which is quiet, and not at %s", r, e.Attempt, e.Backend, s.leavesOut(r))
	}
	if e.Hedge {
		s.hedges++
	}
	r.attempts = append(r.attempts, &raceAttempt{number: e.Attempt, backend: e.Backend})
}

// leavesOut returns a server that is idle, and so not quiet, and was not tried by a request, "" if there is none.
func (s *raceSchedule) leavesOut(r *racedRequest) string {
	for _, name := range s.servers {
		tried := slices.ContainsFunc(r.attempts, func(a *raceAttempt) bool { return a.backend == name })
		if !tried && !slices.Contains(s.quiet, name) && !slices.Contains(s.unreached, name) && s.load(name) == 0 {
			return name
		}
	}
	return ""
}

// load returns the number of attempts in progress at a server.
func (s *raceSchedule) load(name string) int {
	count := 0
	for _, r := range s.requests {
		for _, a := range r.attempts {
			if a.backend == name && a.inProgress() {
				count++
			}
		}
	}
	return count
}

func (s *raceSchedule) checkFinish(r *racedRequest, e core.Finish) {
	r.ends++
	if r.ends > 1 {
		s.t.Fatalf("%s: second final answer", r)
	}
	for _, a := range r.attempts {
		if a.mayDeliver() && s.now.Before(r.deadline) {
			s.t.Fatalf("%s: given up (%s) while attempt %d is in progress", r, e.Reason, a.number)
		}
		if a.mayHaveRun() && e.Outcome == reason.NotRun {
			s.t.Fatalf("%s: outcome not-run, but attempt %d may have run", r, a.number)
		}
	}
}

func (r *racedRequest) String() string {
	list := []string{fmt.Sprintf("%s %s, %d events", r.id, r.path.path, r.events)}
	for _, a := range r.attempts {
		list = append(list, fmt.Sprintf("%+v", *a))
	}
	return strings.Join(list, "; ")
}
