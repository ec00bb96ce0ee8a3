package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["case-7"] = playCase7 }

const (
	// rounds7 is the number of crashes, and streams7 the number of streams that begin before each.
	rounds7  = 8
	streams7 = 24
	events7  = 80
	// down7 is how long a replica is down.
	down7 = 2 * time.Second
)

// stream7 is one stream of a consumer.
type stream7 struct {
	id   string
	last int
	answer
}

// playCase7 runs a service of four replicas whose streams have neither a length nor chunks. One replica after the other crashes in the
// middle of its streams, and is back two seconds later.
func playCase7(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	if err := w.configure(config(1, []any{service("pool", true)}, route("r-1", "/lohu930/", "streaming", "pool", 1, 15*time.Second, false))); err != nil {
		return false, err
	}
	var replicas []*replicaProcess
	for n, zone := range []string{"hervanta", "lielahti", "hatanpaa", "hervanta"} {
		r, err := w.startReplica(replicaSpec{
			id: fmt.Sprintf("i-%d", n+1), service: "pool", zone: zone, address: w.freeAddress(), version: "v1",
			args: []string{"--unframed", "--events", fmt.Sprint(events7)},
		})
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	fronts, err := w.startInstances("hervanta", "lielahti")
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var list []*stream7
	var group sync.WaitGroup
	for round := range rounds7 {
		for n := range streams7 {
			s := &stream7{id: fmt.Sprintf("r%d-s%02d", round, n)}
			list = append(list, s)
			group.Go(func() { s.consume(w, fronts[n%len(fronts)], n) })
			time.Sleep(20 * time.Millisecond)
		}
		if !w.trouble {
			continue
		}
		time.Sleep(500 * time.Millisecond)
		if replicas[round%len(replicas)], err = w.crashAndRestart7(replicas[round%len(replicas)]); err != nil {
			return false, err
		}
	}
	group.Wait()
	w.keepLogs()
	return w.judge7(list), nil
}

// crashAndRestart7 crashes a replica, and starts it again at its address under its id.
func (w *world) crashAndRestart7(r *replicaProcess) (*replicaProcess, error) {
	w.crash(r)
	time.Sleep(down7)
	return w.startReplica(r.spec)
}

// consume reads a stream to its end.
func (s *stream7) consume(w *world, front *instance, n int) {
	c := call{
		front: front.front, method: "POST", path: "/lohu930/chat", id: s.id, deadline: 15 * time.Second,
		parts: fmt.Sprintf("aa%02x:100,bb%02x:200", n, n), body: "prompt " + s.id,
	}
	w.record(s.id, "sends %s to %s", c.id, front.name)
	s.answer = c.send(func(id int, data string) {
		if id == 1 {
			w.record(s.id, "event 1 is of %s", strings.Fields(data)[0])
		}
		s.last = id
	})
	w.record(s.id, "%s, last event %d of %d", s.describe(), s.last, events7)
}

// judge7 applies the rule MIXED: a consumer gets a success with a body that is not the replica's whole body.
func (w *world) judge7(list []*stream7) bool {
	cut, broken := 0, 0
	for _, s := range list {
		switch {
		case s.status == 200 && s.whole && s.last < events7:
			cut++
		case !s.whole:
			broken++
		}
	}
	w.record("driver", "%d of %d streams ended as whole answers before their last piece; %d were seen to be broken off", cut, len(list), broken)
	return cut > 0
}
