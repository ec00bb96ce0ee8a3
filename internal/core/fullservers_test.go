package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

const (
	// minServedShare is the share of requests that a crowded instance answers while there is room for all of them.
	minServedShare = 0.97
	// roomyLoad is the load, as a part of the slots of the servers that serve, at which there is.
	roomyLoad = 0.45
)

// Guards against refusing the callers of a crowded instance while others have free slots, because a server that has ended
// and is still registered seems to have room.
func TestCrowdedInstanceServesBesideEndedServers(t *testing.T) {
	t.Parallel()
	for _, c := range []rejectionCase{
		{fleetSize{6, 3}, "portal", 9, 16},
		{fleetSize{7, 3}, "engines", 12, 16},
		{fleetSize{60, 4}, "engines", 30, 12},
	} {
		if !racedetector.RunsFleet(c.size.instances) {
			continue
		}
		for _, ended := range []int{0, 1, 2} {
			t.Run(fmt.Sprintf("%v, %d ended", c, ended), func(t *testing.T) {
				t.Parallel()
				for seed := range *boundSeeds {
					f := newRejectionFleet(c.size, uint64(231+seed), c.service, c.servers, c.slots)
					f.crowd, f.limitedAt = crowdShare, f.now
					f.offer(roomyLoad*float64(c.servers-ended)/float64(c.servers), 20*time.Second)
					f.run(2 * limitContact)
					f.endForGood(ended)
					from := f.now.Add(time.Second)
					f.run(18 * time.Second)
					crowded, beside := f.servedSince(from)
					t.Logf("crowded %v, beside it %v, %d failures, loans %v", crowded, beside, f.failures, f.counters)
					require.GreaterOrEqual(t, crowded.share(), minServedShare)
					require.GreaterOrEqual(t, beside.share(), minServedShare)
					require.Zero(t, f.failures)
				}
			})
		}
	}
}

// endForGood ends the first n servers and leaves them registered.
func (f *rejectionFleet) endForGood(n int) {
	for _, name := range f.names[:n] {
		s := f.servers[name]
		f.fail(s)
		s.downUntil = f.now.Add(time.Hour)
	}
	f.failures = 0
}

// servedShare counts requests and those of them that were answered.
type servedShare struct{ answered, sent int }

func (s servedShare) share() float64 { return float64(s.answered) / float64(max(1, s.sent)) }

// servedSince returns what became of the requests that were sent since a time to the crowded instance and to the others.
func (f *rejectionFleet) servedSince(from time.Time) (crowded, beside servedShare) {
	for _, r := range f.requests {
		if r.at.Before(from) {
			continue
		}
		s := &beside
		if r.instance == f.instances[0] {
			s = &crowded
		}
		s.sent++
		if r.answered {
			s.answered++
		}
	}
	return crowded, beside
}

// refuseConnection reports that a server refused the connection of an attempt, and returns the effects.
func (r *nodeDriver) refuseConnection(sent core.SendAttempt) []core.Effect {
	return r.handle(core.AttemptEnded{Request: sent.Request, Attempt: sent.Attempt, Outcome: retry.NotSent, ConnectionRefused: true})
}

// fillReachable lets the servers announce a limit, ends the one of the first request and fills the others. It returns the
// ended server and the attempts in progress at the others.
func (r *nodeDriver) fillReachable() (ended string, filled []core.SendAttempt) {
	r.t.Helper()
	first := onlyEffect[core.SendAttempt](r.t, r.sendRequest("/review/x", "key-1"))
	again := onlyEffect[core.SendAttempt](r.t, r.refuseConnection(first))
	require.NotEqual(r.t, first.Backend, again.Backend)
	r.handle(core.AttemptEnded{Request: again.Request, Attempt: again.Attempt, Outcome: retry.Answered, RejectionLimit: rejectionLimit})
	for range 100 {
		sent := effectsOf[core.SendAttempt](r.sendRequest("/review/x", "key-1"))
		if len(sent) == 0 || sent[0].Backend == first.Backend {
			return first.Backend, filled
		}
		filled = append(filled, sent[0])
	}
	r.t.Fatal("the servers have no end of room")
	return "", nil
}

// refuseConnections lets a server refuse all connections of a request. It returns their number, and how the request ended.
func (r *nodeDriver) refuseConnections(server string, effects []core.Effect) (dials int, end core.Finish) {
	r.t.Helper()
	for {
		sent := effectsOf[core.SendAttempt](effects)
		if len(sent) == 0 {
			return dials, onlyEffect[core.Finish](r.t, effects)
		}
		require.Equal(r.t, server, sent[0].Backend)
		dials++
		effects = r.refuseConnection(sent[0])
	}
}

// Guards against callers who wait for five refused connections to one server that has ended while the others are full.
func TestFullServersRefuseBesideAnEndedOne(t *testing.T) {
	t.Parallel()
	r := newNodeDriver(t, 3)
	ended, filled := r.fillReachable()
	dials := 0
	for range 20 {
		n, end := r.refuseConnections(ended, r.sendRequest("/review/x", "key-1"))
		dials += n
		require.Equal(t, reason.NotRun, end.Outcome)
		require.Positive(t, end.RetryAfter)
	}
	require.LessOrEqual(t, dials, 1)
	r.endAttempt(filled[0], retry.Answered)
	require.NotEqual(t, ended, onlyEffect[core.SendAttempt](t, r.sendRequest("/review/x", "key-1")).Backend)
}

// Guards against refusing callers for the whole backoff of a server that is back while the others are full.
func TestFullServersFindOneThatIsBack(t *testing.T) {
	t.Parallel()
	r := newNodeDriver(t, 3)
	ended, _ := r.fillReachable()
	// Refused connections one after the other lengthen the backoff.
	for range 50 {
		r.advance(100 * time.Millisecond)
		r.refuseConnections(ended, r.sendRequest("/review/x", "key-1"))
	}
	backAt := r.now
	var found []core.SendAttempt
	for len(found) == 0 && r.now.Sub(backAt) < 10*time.Second {
		r.advance(50 * time.Millisecond)
		found = effectsOf[core.SendAttempt](r.sendRequest("/review/x", "key-1"))
	}
	require.Len(t, found, 1)
	require.LessOrEqual(t, r.now.Sub(backAt), time.Second)
	r.endAttempt(found[0], retry.Answered)
	require.Equal(t, ended, onlyEffect[core.SendAttempt](t, r.sendRequest("/review/x", "key-1")).Backend)
}

// Guards against a service that is refused although its only server may be back.
func TestOnlyServerIsTriedThoughItRefusedConnections(t *testing.T) {
	t.Parallel()
	r := newNodeDriver(t, 1)
	for range 3 {
		effects := r.sendRequest("/review/x", "key-1")
		r.refuseConnection(onlyEffect[core.SendAttempt](t, effects))
	}
	sent := onlyEffect[core.SendAttempt](t, r.sendRequest("/review/x", "key-1"))
	require.Empty(t, effectsOf[core.Finish](r.endAttempt(sent, retry.Answered)))
}
