package main

import (
	"fmt"
	"net/http"
	"time"
)

// configApply is the site file's bound of configApplyMs.
const configApply = 2 * time.Second

// playLastKey takes a tenant's keys away, one after the other. The tenant is the only one of the deployment, and stays in the
// configuration without a key.
func playLastKey(w *world) []string {
	zones := []string{"hervanta", "lielahti", "hatanpaa"}
	for n, zone := range zones {
		w.addReplica(&replica{id: fmt.Sprintf("i-feed%d", n+1), service: "feed", zone: zone, slots: 6, queue: 24, work: 20 * time.Millisecond})
	}
	w.configure(pushConfig(3, firstKey, secondKey))
	w.addInstances(zones...)
	w.startInstances()
	time.Sleep(4 * time.Second)
	broken := probeKeys(w, "with both keys", map[string]bool{firstKey: true, secondKey: true, unknownKey: false})
	w.configure(pushConfig(5, secondKey))
	time.Sleep(configApply + 2*time.Second)
	broken = append(broken, probeKeys(w, "after the first key was taken away", map[string]bool{firstKey: false, secondKey: true, unknownKey: false})...)
	if !w.trouble {
		return broken
	}
	w.configure(pushConfig(8, []string{}...))
	time.Sleep(configApply + 2*time.Second)
	return append(broken, probeKeys(w, "after the last key was taken away", map[string]bool{firstKey: false, secondKey: false, unknownKey: false})...)
}

// probeKeys sends a request with each key to each instance, and checks CONFIG and ROUTE: it runs if the key is held, and does
// not otherwise.
func probeKeys(w *world, when string, keys map[string]bool) (broken []string) {
	for _, i := range w.instances {
		for key, held := range keys {
			c := newConsumer(w, w.nextName(), i.front)
			a := c.send(pushRequest(key))
			c.close()
			ran := w.record.runsOf(a.id) > 0
			switch {
			case held && (a.status != http.StatusOK || !ran):
				panic(notRun(fmt.Sprintf("%s: a request with a held key got %d", when, a.status)))
			case !held && ran:
				broken = append(broken, fmt.Sprintf("%s: %s has a request run whose key %s no configuration in force holds: status %d", when, i.name, key, a.status))
			}
		}
	}
	return broken
}
