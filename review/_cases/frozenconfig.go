package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// playFrozenConfig adds a route whose requests may be sent to each of the twelve replicas of its service, and takes a key away
// in the next version.
func playFrozenConfig(w *world) []string {
	zones := []string{"hervanta", "lielahti", "hatanpaa"}
	for n := range 12 {
		w.addReplica(&replica{id: fmt.Sprintf("i-feed%d", n+1), service: "feed", zone: zones[n%3], slots: 6, queue: 24, work: 20 * time.Millisecond})
	}
	c := pushConfig(3, firstKey, secondKey)
	w.configure(c)
	w.addInstances(zones...)
	w.startInstances()
	time.Sleep(4 * time.Second)
	broken := probeKeys(w, "version 3", map[string]bool{firstKey: true, secondKey: true, unknownKey: false})

	attempts := 2
	if w.trouble {
		attempts = 12
	}
	c.Version, c.Routes = 7, append(c.Routes, route{
		Name: "r-board", Host: routeHost, Prefix: "/board/", Kind: "safe", TimeoutMs: 2000, GoalMs: 300, Priority: 2,
		Service: "feed", MaxAttempts: attempts,
	})
	w.configure(c)
	time.Sleep(configApply + 2*time.Second)
	for _, i := range w.instances {
		k := newConsumer(w, w.nextName(), i.front)
		a := k.send(request{method: http.MethodGet, host: routeHost, path: "/board/2f", key: firstKey, timeout: 4 * time.Second})
		k.close()
		if a.status == http.StatusNotFound {
			broken = append(broken, fmt.Sprintf("version 7: %s answers 404 on its route r-board", i.name))
		}
	}
	c.Version, c.Tenants = 8, []tenant{{Name: "hule930", APIKeys: []string{secondKey}}}
	w.configure(c)
	time.Sleep(configApply + 2*time.Second)
	broken = append(broken, probeKeys(w, "version 8", map[string]bool{firstKey: false, secondKey: true, unknownKey: false})...)
	return append(broken, w.killAll()...)
}

const (
	// recoverTime is the site file's bound of recoverS, and restartDelay the delay after which a killed process starts again.
	recoverTime  = 12 * time.Second
	restartDelay = 500 * time.Millisecond
	// probes is the number of requests at each instance after its return, of which a quarter has to be served.
	probes = 20
)

// killAll kills the processes of all instances, lets them start again, and checks RECOVER.
func (w *world) killAll() (broken []string) {
	for _, i := range w.instances {
		w.signal(i, syscall.SIGKILL)
		<-i.exited
	}
	time.Sleep(restartDelay)
	for _, i := range w.instances {
		w.start(i)
	}
	time.Sleep(recoverTime + time.Second)
	served, total := 0, 0
	for _, i := range w.instances {
		c := newConsumer(w, w.nextName(), i.front)
		for range probes {
			total++
			if a := c.send(pushRequest(secondKey)); a.status == http.StatusOK {
				served++
			}
		}
		c.close()
	}
	fmt.Printf("after all processes were killed: %d of %d requests served\n", served, total)
	if 4*served < total {
		broken = append(broken, fmt.Sprintf("RECOVER: %v after all processes were killed and started again, %d of %d requests are served", recoverTime, served, total))
	}
	return broken
}
