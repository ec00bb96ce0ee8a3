package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["case-7"] = playCase7 }

const (
	// rounds7 is the number of crashes. streams7 streams and plain7 plain requests begin before each.
	rounds7  = 10
	streams7 = 24
	plain7   = 24
	events7  = 80
	// down7 is how long a replica is down.
	down7 = 2 * time.Second
)

// request7 is one request of a consumer, with its answer.
type request7 struct {
	id, path string
	parts    string
	last     int
	answer
}

// playCase7 runs two services of four replicas each, whose answers have neither a length nor chunks. One replica after the other
// crashes in the middle of its answers, and is back two seconds later.
func playCase7(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	err := w.configure(config(1, []any{service("pool", true), service("feed", false)},
		route("r-1", "/lohu930/", "streaming", "pool", 1, 15*time.Second, false), route("r-2", "/puxa403/", "unsafe", "feed", 1, 4*time.Second, false)))
	if err != nil {
		return false, err
	}
	pool, err := w.startReplicas7("pool", "--events", fmt.Sprint(events7))
	if err != nil {
		return false, err
	}
	feed, err := w.startReplicas7("feed", "--work", "400ms")
	if err != nil {
		return false, err
	}
	fronts, err := w.startInstances("hervanta", "lielahti")
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var list []*request7
	var group sync.WaitGroup
	for round := range rounds7 {
		for n := range streams7 + plain7 {
			s := &request7{id: fmt.Sprintf("p%d-%02d", round, n), path: "/puxa403/push"}
			if n < streams7 {
				s = &request7{id: fmt.Sprintf("s%d-%02d", round, n), path: "/lohu930/chat", parts: fmt.Sprintf("aa%02x:100,bb%02x:200", n, n)}
			}
			list = append(list, s)
			group.Go(func() { s.consume(w, fronts[n%len(fronts)]) })
			time.Sleep(10 * time.Millisecond)
		}
		if !w.trouble {
			continue
		}
		replicas := [][]*replicaProcess{feed, pool}[round%2]
		which := round / 2 % len(replicas)
		if replicas[which], err = w.crashAndRestart7(replicas[which]); err != nil {
			return false, err
		}
	}
	group.Wait()
	w.keepLogs()
	return w.judge7(list), nil
}

// startReplicas7 starts four replicas of a service.
func (w *world) startReplicas7(service string, args ...string) ([]*replicaProcess, error) {
	var list []*replicaProcess
	for n, zone := range []string{"hervanta", "lielahti", "hatanpaa", "hervanta"} {
		r, err := w.startReplica(replicaSpec{
			id: fmt.Sprintf("i-%s-%d", service, n+1), service: service, zone: zone, address: w.freeAddress(), version: "v1",
			args: append([]string{"--unframed"}, args...),
		})
		if err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	return list, nil
}

// crashAndRestart7 crashes a replica, and starts it again at its address under its id.
func (w *world) crashAndRestart7(r *replicaProcess) (*replicaProcess, error) {
	w.crash(r)
	time.Sleep(down7)
	return w.startReplica(r.spec)
}

// consume reads an answer to its end.
func (s *request7) consume(w *world, front *instance) {
	c := call{front: front.front, method: "POST", path: s.path, id: s.id, deadline: 15 * time.Second, parts: s.parts, body: "body of " + s.id}
	if s.parts == "" {
		c.deadline = 4 * time.Second
	}
	w.record(s.id, "sends to %s", front.name)
	s.answer = c.send(func(id int, data string) {
		if id == 1 {
			w.record(s.id, "event 1 is of %s", strings.Fields(data)[0])
		}
		s.last = id
	})
	w.record(s.id, "%s, last event %d, body %q", s.describe(), s.last, s.body)
}

// isCut reports whether the consumer got a success that looks whole and lacks the end of the replica's answer.
func (s *request7) isCut() bool {
	if s.status != 200 || !s.whole {
		return false
	}
	if s.parts != "" {
		return s.last < events7
	}
	return !strings.HasSuffix(s.body, lastLine)
}

// judge7 applies the rule MIXED: a consumer gets a success with a body that is not the replica's whole body.
func (w *world) judge7(list []*request7) bool {
	streams, plain, broken := 0, 0, 0
	for _, s := range list {
		switch {
		case s.isCut() && s.parts != "":
			streams++
		case s.isCut():
			plain++
		case s.status != 200 || !s.whole:
			broken++
		}
	}
	w.record("driver", "%d streams and %d plain answers of %d requests came as whole answers and lack their end; %d were seen to be broken off",
		streams, plain, len(list), broken)
	return streams+plain > 0
}
