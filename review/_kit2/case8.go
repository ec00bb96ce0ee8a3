package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["case-8"] = playCase8 }

// playCase8 starts a replica again, under its id and at its address, for another service.
func playCase8(w *world) (bool, error) {
	foreign := 0
	var mu sync.Mutex
	w.onLine = func(line string) {
		if strings.HasPrefix(line, "runs ") && field(line, "service") == "feed-b" && strings.HasPrefix(field(line, "path"), "/a/") {
			mu.Lock()
			foreign++
			mu.Unlock()
		}
	}
	if err := w.startStore(); err != nil {
		return false, err
	}
	if err := w.configure(config(1, []any{service("feed-a", false), service("feed-b", false)},
		route("r-a", "/a/", "unsafe", "feed-a", 1, 4*time.Second, false), route("r-b", "/b/", "unsafe", "feed-b", 1, 4*time.Second, false))); err != nil {
		return false, err
	}
	var first *replicaProcess
	for n, s := range []string{"feed-a", "feed-a", "feed-a", "feed-b"} {
		r, err := w.startReplica(replicaSpec{id: fmt.Sprintf("i-%d", n+1), service: s, zone: "hervanta", address: w.freeAddress(), version: "v1", args: []string{"--slots", "6"}})
		if err != nil {
			return false, err
		}
		if n == 0 {
			first = r
		}
	}
	fronts, err := w.startInstances("hervanta", "lielahti")
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	send := func(n int) {
		c := call{front: fronts[n%2].front, method: "POST", path: "/a/push", id: fmt.Sprintf("a%04d", n), deadline: 4 * time.Second, body: "x"}
		group.Go(func() {
			a := c.send(nil)
			w.record(c.id, "%s %q", a.describe(), a.body)
		})
		time.Sleep(30 * time.Millisecond)
	}
	for n := range 100 {
		send(n)
	}
	if w.trouble {
		w.crash(first)
	}
	for n := range 80 {
		send(1000 + n)
	}
	if w.trouble {
		next := first.spec
		next.service = "feed-b"
		if _, err := w.startReplica(next); err != nil {
			return false, err
		}
	}
	for n := range 400 {
		send(2000 + n)
	}
	group.Wait()
	w.keepLogs()
	w.record("driver", "%d requests of route /a/ were run by service feed-b", foreign)
	return foreign > 0, nil
}
