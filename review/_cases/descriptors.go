package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// usualConsumers keep a channel each to one instance. burstFactor is that of the site file's disruption burst, x 1.7.
	usualConsumers = 2450
	burstFactor    = 1.7
	// requestPause is the mean time between a consumer's requests, within four fifths of idleTimeoutMs.
	requestPause = 9 * time.Second
	usualTime    = 12 * time.Second
	burstTime    = 12 * time.Second
	// lossLimit is the number of requests that the rule LOST allows.
	lossLimit = 3
)

// playDescriptors lets many consumers come at once to an instance whose descriptors are limited as in the settings of the
// deployment.
func playDescriptors(w *world) []string {
	zones := []string{"hervanta", "lielahti"}
	for n := range 6 {
		w.addReplica(&replica{id: fmt.Sprintf("i-feed%d", n+1), service: "feed", zone: zones[n%2], slots: 12, queue: 24, work: 60 * time.Millisecond})
	}
	w.configure(pushConfig(1, firstKey))
	w.addInstances(zones...)
	w.startInstances()
	time.Sleep(3 * time.Second)
	crowd := &crowd{world: w, front: w.instances[0].front}
	crowd.add(usualConsumers, usualTime/2)
	time.Sleep(usualTime / 2)
	w.record.add("usual consumers are there", "channels", crowd.open.Load())
	if w.trouble {
		crowd.add(int(usualConsumers*(burstFactor-1)), burstTime/4)
	}
	time.Sleep(burstTime)
	w.record.add("end", "channels", crowd.open.Load())
	var broken []string
	for _, i := range w.instances {
		if !i.alive() {
			broken = append(broken, fmt.Sprintf("%s has ended by itself: %s", i.name, lastLine(i.settings+".log")))
		}
	}
	crowd.stop()
	if lost := crowd.lost(); lost > lossLimit {
		broken = append(broken, fmt.Sprintf("LOST: %d requests were passed on to a sound replica, and their channels closed without an answer", lost))
	}
	fmt.Println("requests answered:", crowd.answered.Load(), "channels at most:", crowd.most.Load())
	return broken
}

// crowd is many consumers of one instance, each with a channel of its own.
type crowd struct {
	world                *world
	front                string
	stopped              atomic.Bool
	open, most, answered atomic.Int64
	group                sync.WaitGroup
	unanswered           answerLog
}

// add lets a number of consumers come within a time.
func (c *crowd) add(number int, within time.Duration) {
	for range number {
		q := newConsumer(c.world, c.world.nextName(), c.front)
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			defer q.close()
			c.visit(q)
		}()
		time.Sleep(within / time.Duration(number))
	}
}

// visit sends requests now and then until the crowd is stopped or the instance is gone.
func (c *crowd) visit(q *consumer) {
	c.most.Store(max(c.most.Load(), c.open.Add(1)))
	defer c.open.Add(-1)
	for !c.stopped.Load() {
		a := q.send(pushRequest(firstKey))
		switch {
		case a.status != 0:
			c.answered.Add(1)
		case strings.HasPrefix(a.why, "connect"):
			return // The platform sends it to another instance.
		default:
			c.unanswered.add(a)
		}
		pause := time.Duration((0.5 + rand.Float64()/2) * float64(requestPause))
		for begun := time.Now(); time.Since(begun) < pause && !c.stopped.Load(); {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

func (c *crowd) stop() {
	c.stopped.Store(true)
	c.group.Wait()
}

// lost returns the number of requests that ran at a replica and whose channel was closed without an answer.
func (c *crowd) lost() (n int) {
	for _, a := range c.unanswered.all {
		if c.world.record.runsOf(a.id) > 0 {
			n++
		}
	}
	return n
}

// lastLine returns the last line of a log.
func lastLine(path string) string {
	text, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}
