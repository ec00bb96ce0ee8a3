package main

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["case-6"] = playCase6 }

const (
	// streams6 is the number of streams at each service.
	streams6 = 40
	// down6 is how long a replica is down, and turn6 the time from the return of one to the end of the next.
	down6 = 2 * time.Second
	turn6 = 100 * time.Millisecond
)

// stream6 is one stream of a consumer, over its tries.
type stream6 struct {
	id, path string
	versions map[string]int
	last     int
	ended    bool
}

// services6 are the services, each with four replicas.
var services6 = []string{"pool-a", "pool-b", "pool-c"}

// playCase6 upgrades three services, one after the other. Two replicas of each go down and up by turns: each is back under its id after
// two seconds, with the next version of its software, and writes its entry at once.
func playCase6(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	var services, routes []any
	for _, name := range services6 {
		services = append(services, service(name, true))
		routes = append(routes, route("r-"+name, "/"+name+"/", "streaming", name, 2, 12*time.Second, true))
	}
	if err := w.configure(config(1, services, routes...)); err != nil {
		return false, err
	}
	replicas := make(map[string][]*replicaProcess)
	for n, zone := range []string{"hervanta", "lielahti", "hatanpaa", "hervanta"} {
		for _, name := range services6 {
			spec := replicaSpec{id: fmt.Sprintf("i-%s-%d", name, n+1), service: name, zone: zone, address: w.freeAddress(), version: "v1"}
			r, err := w.startReplica(spec)
			if err != nil {
				return false, err
			}
			replicas[name] = append(replicas[name], r)
			time.Sleep(100 * time.Millisecond)
		}
	}
	fronts, err := w.startInstances("hervanta", "lielahti")
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var list []*stream6
	var group sync.WaitGroup
	for _, name := range services6 {
		for n := range streams6 {
			s := &stream6{id: fmt.Sprintf("%s-s%02d", name, n), path: "/" + name + "/chat", versions: make(map[string]int)}
			list = append(list, s)
			group.Go(func() { s.consume(w, fronts, n) })
			time.Sleep(20 * time.Millisecond)
		}
		if err := w.upgrade6(replicas[name][:2]); err != nil {
			return false, err
		}
	}
	group.Wait()
	w.keepLogs()
	return w.judge6(list), nil
}

// upgrade6 replaces replicas in place by the next version, one after the other.
func (w *world) upgrade6(replicas []*replicaProcess) error {
	for _, r := range replicas {
		time.Sleep(turn6)
		if !w.trouble {
			continue
		}
		w.crash(r)
		time.Sleep(down6)
		next := r.spec
		next.version = "v2"
		if _, err := w.startReplica(next); err != nil {
			return err
		}
	}
	return nil
}

// consume reads a stream, and takes it up again as long as it breaks off.
func (s *stream6) consume(w *world, fronts []*instance, n int) {
	began := time.Now()
	for try := 0; try < 3 && !s.ended; try++ {
		c := call{
			front: fronts[(n+try)%len(fronts)].front, method: "POST", path: s.path, id: fmt.Sprintf("%s-%d", s.id, try),
			deadline: 12*time.Second - time.Since(began), parts: fmt.Sprintf("aa%02x:100,bb%02x:200", n, n), body: "prompt " + s.id,
		}
		if s.last > 0 {
			c.resumes, c.after = s.id+"-0", strconv.Itoa(s.last)
		}
		if c.deadline < time.Second {
			return
		}
		w.record(s.id, "sends %s to %s after event %d", c.id, c.front, s.last)
		a := c.send(func(id int, data string) { s.event(w, id, data) })
		w.record(s.id, "%s: %s, last event %d", c.id, a.describe(), s.last)
		s.ended = a.status == 200 && a.whole
		if !s.ended {
			time.Sleep(max(200*time.Millisecond, a.retryAfter))
		}
	}
}

// event records an event. Its data names the replica and the version that made it.
func (s *stream6) event(w *world, id int, data string) {
	version := strings.Fields(data)[1]
	if s.versions[version] == 0 {
		w.record(s.id, "event %d is of %s", id, data)
	}
	if id != s.last+1 {
		w.record(s.id, "event %d follows event %d", id, s.last)
	}
	s.versions[version]++
	s.last = id
}

// judge6 applies the rule ORDER: more than two streams hold events from replicas of two software versions of one service.
func (w *world) judge6(list []*stream6) bool {
	joined := 0
	for _, s := range list {
		w.record(s.id, "ended as complete: %v; events by version: %v", s.ended, s.versions)
		if len(slices.Collect(maps.Keys(s.versions))) > 1 {
			joined++
		}
	}
	w.record("driver", "%d of %d streams hold events of two versions; more than 2 break ORDER", joined, len(list))
	return joined > 2
}
