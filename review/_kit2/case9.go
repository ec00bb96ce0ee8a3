package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

func init() { cases["case-9"] = playCase9 }

const (
	events9 = 30
	// rate9 is the interval between two new streams, and time9 the time for which they begin.
	rate9 = 7 * time.Millisecond
	time9 = 10 * time.Second
	down9 = 400 * time.Millisecond
	// limit9 is the time limit of a consumer, over its tries, and tries9 the number of them.
	limit9 = 12 * time.Second
	tries9 = 4
)

// stream9 is one stream of a consumer, over its tries.
type stream9 struct {
	id          string
	last        int
	begun, done bool
	// resumed is set once the consumer has taken the stream up again, and wentOn once it got an event then.
	resumed, wentOn bool
}

// playCase9 runs a service of four replicas with short streams. One replica crashes and is back, under its id, with the next version of
// its software. The consumers of its streams take them up again a second or two later.
func playCase9(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	if err := w.configure(config(1, []any{service("pool", true)}, route("r-1", "/lohu930/", "streaming", "pool", 1, limit9, true))); err != nil {
		return false, err
	}
	var replicas []*replicaProcess
	for n, zone := range []string{"hervanta", "lielahti", "hatanpaa", "hervanta"} {
		r, err := w.startReplica(replicaSpec{
			id: fmt.Sprintf("i-%d", n+1), service: "pool", zone: zone, address: w.freeAddress(), version: "v1",
			args: []string{"--events", strconv.Itoa(events9), "--interval", "20ms"},
		})
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
		time.Sleep(300 * time.Millisecond)
	}
	fronts, err := w.startInstances("hervanta", "lielahti", "hatanpaa")
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	failed := make(chan error, 1)
	if w.trouble {
		time.AfterFunc(time9/2, func() {
			w.crash(replicas[0])
			time.Sleep(down9)
			next := replicas[0].spec
			next.version = "v2"
			if _, err := w.startReplica(next); err != nil {
				failed <- err
			}
		})
	}
	var list []*stream9
	var group sync.WaitGroup
	for began := time.Now(); time.Since(began) < time9; time.Sleep(rate9) {
		n := len(list)
		s := &stream9{id: fmt.Sprintf("s%04d", n)}
		list = append(list, s)
		group.Go(func() { s.consume(w, fronts, n) })
	}
	group.Wait()
	w.keepLogs()
	select {
	case err := <-failed:
		return false, err
	default:
		return w.judge9(list), nil
	}
}

// consume reads a stream, and takes it up again at another instance if it breaks off.
func (s *stream9) consume(w *world, fronts []*instance, n int) {
	began := time.Now()
	for try := 0; try < tries9 && !s.done; try++ {
		c := call{
			front: fronts[(n+try)%len(fronts)].front, method: "POST", path: "/lohu930/chat", id: fmt.Sprintf("%s-%d", s.id, try),
			deadline: limit9 - time.Since(began), parts: fmt.Sprintf("aa%02x:100,bb%04x:200", n%64, n), body: "prompt " + s.id,
		}
		if s.last > 0 {
			c.resumes, c.after, s.resumed = s.id+"-0", strconv.Itoa(s.last), true
		}
		if c.deadline < time.Second {
			return
		}
		a := c.send(func(id int, _ string) {
			s.begun, s.wentOn, s.last = true, s.wentOn || c.resumes != "", id
		})
		s.done = a.status == 200 && a.whole
		if !s.done || c.resumes != "" {
			w.record(s.id, "%s after event %q: %s, last event %d", c.id, c.after, a.describe(), s.last)
		}
		if !s.done {
			time.Sleep(max(a.retryAfter, time.Second+rand.N(time.Second)))
		}
	}
}

// judge9 applies the rule LOST: of 12 or more streams that consumers take up again, the share that goes on is under half of the share
// of new streams that begin.
func (w *world) judge9(list []*stream9) bool {
	begun, resumed, wentOn := 0, 0, 0
	for _, s := range list {
		if s.begun {
			begun++
		}
		if s.resumed {
			resumed++
		}
		if s.wentOn {
			wentOn++
		}
	}
	w.record("driver", "%d of %d new streams began; %d of %d streams that were taken up again went on", begun, len(list), wentOn, resumed)
	if resumed < 12 {
		return false
	}
	return float64(wentOn)/float64(resumed) < float64(begun)/float64(len(list))/2
}
