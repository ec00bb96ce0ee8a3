package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMb is the limit of memory of a process in the settings of the site file rv-ebony. maxBodyBytes is that of
	// the configuration.
	memoryMb     = 284
	maxBodyBytes = 4194304
	// usualSenders send long documents at a time, burstFactor times as many in the burst.
	usualSenders = 36
	memoryTime   = 12 * time.Second
)

// playMemory lets more consumers than usual send bodies of the permitted size at once. An instance whose memory exceeds the
// limit of the deployment is killed, as the platform does.
func playMemory(w *world) []string {
	zones := []string{"hervanta", "lielahti"}
	for n := range 4 {
		w.addReplica(&replica{id: fmt.Sprintf("i-feed%d", n+1), service: "feed", zone: zones[n%2], slots: 12, queue: 24, work: 60 * time.Millisecond})
	}
	w.configure(pushConfig(1, firstKey))
	w.addInstances(zones...)
	w.startInstances()
	time.Sleep(3 * time.Second)
	i := w.instances[0]
	stopped := make(chan struct{})
	var guard sync.WaitGroup
	guard.Add(1)
	most := 0
	go func() {
		defer guard.Done()
		most = w.limitMemory(i, stopped)
	}()
	senders := usualSenders
	if w.trouble {
		factor := burstFactor
		senders = int(usualSenders * factor)
	}
	var group sync.WaitGroup
	var end atomic.Bool
	var answers answerLog
	document := strings.Repeat("timetable\n", maxBodyBytes/10)
	for range senders {
		c := newConsumer(w, w.nextName(), i.front)
		group.Add(1)
		go func() {
			defer group.Done()
			defer c.close()
			for !end.Load() {
				q := pushRequest(firstKey)
				q.body = document
				a := c.send(q)
				answers.add(a)
				if strings.HasPrefix(a.why, "connect") {
					return // The platform sends it to another instance.
				}
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
			}
		}()
	}
	time.Sleep(memoryTime)
	end.Store(true)
	group.Wait()
	close(stopped)
	guard.Wait()
	lost, answered := 0, 0
	for _, a := range answers.all {
		switch {
		case a.status == 0 && w.record.runsOf(a.id) > 0:
			lost++
		case a.status == http.StatusOK:
			answered++
		}
	}
	fmt.Println("senders:", senders, "answered with 200:", answered, "memory at most, MB:", most>>10)
	if lost <= lossLimit {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %s was over %d MB and was killed; %d requests were passed on to a sound replica, and their channels closed without an answer", i.name, memoryMb, lost)}
}

// limitMemory kills an instance whose memory exceeds the limit, as the platform does. It returns the most memory, in kB.
func (w *world) limitMemory(i *instance, stopped <-chan struct{}) (most int) {
	for {
		select {
		case <-stopped:
			return most
		case <-i.exited:
			return most
		case <-time.After(20 * time.Millisecond):
		}
		most = max(most, residentKB(i.process.Process.Pid))
		if most > memoryMb<<10 {
			w.record.add("memory over the limit", "name", i.name, "kB", most)
			w.signal(i, syscall.SIGKILL)
			return most
		}
	}
}

// residentKB returns the resident memory of a process in kB, 0 if it has ended.
func residentKB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb
		}
	}
	return 0
}
