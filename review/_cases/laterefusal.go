package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The disruption of the case, within what the site file rv-ebony has: garble "extra late" with share 0.6, x 0.03 and for_s 5.
const (
	garbleReplicas = 3 // of five
	garbleAnswers  = 0.03
	garbleTime     = 5 * time.Second
	garblePause    = 2 * time.Second
	garbles        = 11
)

// playLateRefusal lets replicas send some answers a second time, late: at the point where the next answer on the channel is
// due. Some of these are refusals with Not-Executed, which bear the Attempt-Id of the request that was refused.
func playLateRefusal(w *world) []string {
	var garbling atomic.Bool
	zones := []string{"hervanta", "lielahti", "hatanpaa"}
	for n := range 5 {
		r := &replica{id: fmt.Sprintf("i-feed%d", n+1), service: "feed", zone: zones[n%3], slots: 6, queue: 4, work: 60 * time.Millisecond}
		if n < garbleReplicas {
			r.extra = func() bool { return garbling.Load() && rand.Float64() < garbleAnswers }
		}
		w.addReplica(r)
	}
	w.configure(pushConfig(1, firstKey))
	w.addInstances(zones...)
	w.startInstances()
	time.Sleep(3 * time.Second) // All instances know each other and the replicas.

	end := time.Now().Add(garbles * (garbleTime + garblePause))
	var group sync.WaitGroup
	var answers answerLog
	for n, i := range w.instances {
		c := newConsumer(w, fmt.Sprintf("%c", 'a'+n), i.front)
		defer c.close()
		group.Add(1)
		go func() {
			defer group.Done()
			sendUntil(c, end, &group, &answers)
		}()
	}
	for range garbles {
		garbling.Store(w.trouble)
		w.record.add("replicas send second answers", "on", w.trouble)
		time.Sleep(garbleTime)
		garbling.Store(false)
		time.Sleep(garblePause)
	}
	group.Wait()
	time.Sleep(time.Second) // What runs later still counts.
	return judgeRuns(w, answers.all)
}

// answerLog collects answers.
type answerLog struct {
	mu  sync.Mutex
	all []answer
}

func (l *answerLog) add(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, a)
}

// sendUntil sends requests that may run once, in clumps, about 140 a second.
func sendUntil(c *consumer, end time.Time, group *sync.WaitGroup, answers *answerLog) {
	for time.Now().Before(end) {
		for range 2 + rand.IntN(12) {
			group.Add(1)
			go func() {
				defer group.Done()
				answers.add(c.send(pushRequest(firstKey)))
			}()
		}
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
	}
}

// judgeRuns checks TWICE and REFUSED: no request runs more than once, and none that was answered with 408, 421, 429 or 503
// has run.
func judgeRuns(w *world, answers []answer) (broken []string) {
	statuses := make(map[int]int)
	for _, a := range answers {
		statuses[a.status]++
		runs := w.record.runsOf(a.id)
		if runs > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s, which may run once, ran %d times; its consumer got %d", a.id, runs, a.status))
		}
		if promisesNotRun(a.status) && runs > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and ran %d times", a.id, a.status, runs))
		}
		if a.status == http.StatusOK && (a.body != answerBody(a.id) || !strings.HasSuffix(a.seal, "."+a.id)) {
			broken = append(broken, fmt.Sprintf("MIXED: %s got the answer %q", a.id, a.body))
		}
	}
	fmt.Println("requests:", len(answers), "by status:", statuses, "refused by replicas:", w.record.count("refused by replica"),
		"second answers:", w.record.count("second answer sent late"))
	return broken
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
