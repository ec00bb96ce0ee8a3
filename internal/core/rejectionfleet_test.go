package core_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

const (
	// rejectionLimit is the number of requests that a limited server can reject within a second.
	rejectionLimit = 5
	// limitContact is the time from the first announcement of the limit until servers queue no more
	// requests and fail if they must reject too many.
	limitContact = 3 * time.Second
	// failedFor is the time until a server that failed is back.
	failedFor = 4 * time.Second
)

// rejectionFleet runs a fleet whose backend servers fail when they must reject many requests for lack of
// room.
type rejectionFleet struct {
	*fleet
	service string
	slots   int
	servers map[string]*limitedServer
	names   []string
	// limitedAt is the time from which the servers announce their limit, zero before it is set.
	limitedAt time.Time
	// crowd is the share of the requests that reach one instance beyond its part of the rest.
	crowd float64
	// failures counts the servers that failed, and the other fields the requests by what became of them.
	failures, served, rejected, lost int
	// busy is the sum over time of the running requests, sampled at each sample.
	busy, samples int
}

// limitedServer is one backend server.
type limitedServer struct {
	name    string
	running map[core.RequestID]*runningAttempt
	waiting []*runningAttempt
	// rejections are the times of the last rejections.
	rejections []time.Time
	downUntil  time.Time
}

func newRejectionFleet(size fleetSize, seed uint64, service string, servers, slots int) *rejectionFleet {
	f := &rejectionFleet{
		fleet:   newStoppedFleet(seed, size.instances, size.zones),
		service: service, slots: slots, servers: make(map[string]*limitedServer),
	}
	f.noPolls = true
	f.serve = f.runAttempt
	f.start(routesConfig)
	f.putConfig(1, "first", routesConfig)
	for i := range servers {
		name := fmt.Sprintf("%s-%d", service, i)
		f.servers[name] = &limitedServer{name: name, running: make(map[core.RequestID]*runningAttempt)}
		f.names = append(f.names, name)
		member := engineEntry(i, membership.Live)
		member.Name, member.Service, member.Slots, member.Address = name, service, slots, name+":80"
		f.store.putEntry(name, member)
	}
	f.run(20 * time.Second)
	return f
}

// limit returns the limit that the servers announce.
func (f *rejectionFleet) limit() int {
	if f.limitedAt.IsZero() || f.now.Before(f.limitedAt) {
		return 0
	}
	return rejectionLimit
}

// strict reports whether servers queue no more requests and fail if they must reject too many.
func (f *rejectionFleet) strict() bool {
	return f.limit() > 0 && f.now.Sub(f.limitedAt) >= limitContact
}

// room returns the number of requests that a server runs and queues.
func (f *rejectionFleet) room() int {
	if f.strict() {
		return f.slots
	}
	return 2 * f.slots
}

func (s *limitedServer) load() int { return len(s.running) + len(s.waiting) }

func (f *rejectionFleet) report(s *limitedServer) *membership.Report {
	return &membership.Report{Backend: s.name, State: membership.Live, InFlight: s.load(), At: f.now}
}

// runAttempt lets an attempt arrive at its server.
func (f *rejectionFleet) runAttempt(m *fakeInstance, a core.SendAttempt) {
	s := f.servers[a.Backend]
	f.schedule(2*time.Millisecond, func() {
		switch {
		case f.now.Before(s.downUntil):
			f.reply(m, time.Millisecond, core.AttemptEnded{Request: a.Request, Attempt: a.Attempt, Outcome: retry.NotSent, ConnectionRefused: true})
		case s.load() >= f.room():
			f.reject(s, m, a)
		case len(s.running) >= f.slots:
			s.waiting = append(s.waiting, &runningAttempt{m, a})
		default:
			f.begin(s, &runningAttempt{m, a})
		}
	})
}

// reject turns a request away. The server fails if it has to do so too often.
func (f *rejectionFleet) reject(s *limitedServer, m *fakeInstance, a core.SendAttempt) {
	f.rejected++
	f.reply(m, 2*time.Millisecond, core.AttemptEnded{
		Request: a.Request, Attempt: a.Attempt, Outcome: retry.Refused, Load: f.report(s), RejectionLimit: f.limit(),
	})
	s.rejections = slices.DeleteFunc(s.rejections, func(at time.Time) bool { return f.now.Sub(at) > time.Second })
	s.rejections = append(s.rejections, f.now)
	if f.strict() && len(s.rejections) > rejectionLimit {
		f.fail(s)
	}
}

// fail ends a server and all that it holds. It is back after a time.
func (f *rejectionFleet) fail(s *limitedServer) {
	f.failures++
	s.downUntil, s.rejections = f.now.Add(failedFor), nil
	for _, id := range sortedRequests(s.running) {
		f.breakAttempt(s.running[id])
	}
	for _, r := range s.waiting {
		f.breakAttempt(r)
	}
	clear(s.running)
	s.waiting = nil
}

func (f *rejectionFleet) breakAttempt(r *runningAttempt) {
	f.lost++
	f.reply(r.instance, 2*time.Millisecond, core.AttemptEnded{Request: r.attempt.Request, Attempt: r.attempt.Attempt, Outcome: retry.Unknown})
}

// begin runs a request at a server that has a free slot.
func (f *rejectionFleet) begin(s *limitedServer, r *runningAttempt) {
	id := r.attempt.Request
	s.running[id] = r
	lasts := f.serviceTime()
	f.schedule(lasts/10, func() {
		if s.running[id] == r {
			f.reply(r.instance, time.Millisecond, core.AnswerStarted{Request: id, Attempt: r.attempt.Attempt, Load: f.report(s), RejectionLimit: f.limit()})
		}
	})
	f.schedule(lasts, func() {
		if s.running[id] != r {
			return
		}
		delete(s.running, id)
		f.served++
		f.requests[id].answered = true
		f.reply(r.instance, time.Millisecond, core.AttemptEnded{
			Request: id, Attempt: r.attempt.Attempt, Outcome: retry.Answered, RejectionLimit: f.limit(),
		})
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			f.begin(s, next)
		}
	})
}

// serviceTime returns the time that a server takes for a request.
func (f *rejectionFleet) serviceTime() time.Duration {
	if f.service == "engines" {
		return time.Duration(300+f.random.IntN(900)) * time.Millisecond
	}
	return time.Duration(40+f.random.IntN(40)) * time.Millisecond
}

// offer sends requests for a time, at a rate that would keep the servers busy to a multiple of their
// slots, to random instances. Every caller has a chat of its own.
func (f *rejectionFleet) offer(multiple float64, lasts time.Duration) {
	mean := 750 * time.Millisecond
	path := "/question/"
	if f.service != "engines" {
		mean, path = 60*time.Millisecond, "/progress/"
	}
	gap := time.Duration(float64(mean) / (multiple * float64(f.slots*len(f.names))))
	until := f.now.Add(lasts)
	var next func()
	next = func() {
		if !f.now.Before(until) {
			return
		}
		f.ask(path)
		f.schedule(time.Duration(f.random.ExpFloat64()*float64(gap)), next)
	}
	next()
}

// ask sends a request to a random instance.
func (f *rejectionFleet) ask(path string) {
	m := f.instances[f.random.IntN(len(f.instances))]
	if f.random.Float64() < f.crowd {
		m = f.instances[0]
	}
	s := &callerRequest{id: core.RequestID(fmt.Sprintf("r%d", len(f.requests))), at: f.now, instance: m, incarnation: m.incarnation}
	f.requests[s.id] = s
	f.deliver(m, core.RequestArrived{
		Request: s.id, Host: "h.example", Path: path + string(s.id), APIKey: "key-1", Chat: fmt.Sprintf("chat-%d", f.random.IntN(20*f.slots*len(f.names))),
	})
}

// sample records for a time how many slots are busy.
func (f *rejectionFleet) sample(lasts time.Duration) {
	for until := f.now.Add(lasts); f.now.Before(until); {
		f.run(100 * time.Millisecond)
		for _, name := range f.names {
			f.busy += len(f.servers[name].running)
			f.samples++
		}
	}
}

// utilization returns the mean share of busy slots.
func (f *rejectionFleet) utilization() float64 {
	return float64(f.busy) / float64(max(1, f.samples)) / float64(f.slots)
}
