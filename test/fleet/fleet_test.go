package fleet_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// counts holds the numbers of incorrectly handled notes. A note is a request that must run at most
// once. All numbers must be zero.
type counts struct {
	// lost counts the notes whose caller has neither a response nor a correct refusal after its
	// last attempt.
	lost int
	// duplicated counts the notes that ran more than once.
	duplicated int
	// falselyRefused counts the notes that ran although they were reported as not run.
	falselyRefused int
}

// sendUntilAnswered sends a note until it is answered, reported as answered before, or out of
// attempts. Each attempt uses the next instance, like a caller behind a load balancer. It returns
// the last response and whether all responses stated that the note did not run.
func (f *fleet) sendUntilAnswered(key string, first, attempts int) (response, bool) {
	var last response
	notRun := true
	for n := range attempts {
		last = f.send(f.instances[(first+n)%len(f.instances)], key)
		switch {
		case last.outcome == "answered" || last.firstOutcome == "answered":
			return last, false
		case last.outcome != "not-run":
			notRun = false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last, notRun
}

// sendConcurrently sends notes from many concurrent callers while inject disturbs the fleet, and
// returns the counts.
func (f *fleet) sendConcurrently(callers, each int, inject func()) counts {
	var group sync.WaitGroup
	var mu sync.Mutex
	var c counts
	answered, duplicate, inDoubt, refused := 0, 0, 0, 0
	for caller := range callers {
		group.Go(func() {
			for n := range each {
				key := fmt.Sprintf("note-%d-%d", caller, n)
				last, notRun := f.sendUntilAnswered(key, caller+n, 20)
				mu.Lock()
				ran := f.runs.count(key)
				switch {
				case last.outcome == "answered" && strings.HasSuffix(last.body, key):
					answered++
				case last.outcome == "duplicate" && ran == 0:
					inDoubt++
				case last.outcome == "duplicate":
					duplicate++
				case notRun && ran == 0:
					refused++
				case notRun:
					c.falselyRefused++
				default:
					c.lost++
				}
				mu.Unlock()
			}
		})
	}
	inject()
	group.Wait()
	f.runs.mu.Lock()
	for _, n := range f.runs.byKey {
		if n > 1 {
			c.duplicated++
		}
	}
	f.runs.mu.Unlock()
	f.t.Logf("answered %d, duplicate %d, claimed and never run %d, refused %d; lost %d, duplicated %d, falsely refused %d",
		answered, duplicate, inDoubt, refused, c.lost, c.duplicated, c.falselyRefused)
	return c
}

// Guards against a non-idempotent request that runs twice after the crash of an instance. The
// instance is killed with requests in all stages: waiting for the claim, claimed and not sent, sent
// and not answered. The callers, whose connections broke, retry through other instances.
func TestKilledInstanceDuplicatesNoRequest(t *testing.T) {
	f := startFleet(t, []string{"a", "b"}, 2, 10*time.Millisecond)
	c := f.sendConcurrently(12, 25, func() {
		time.Sleep(300 * time.Millisecond)
		f.instances[0].signal(t, syscall.SIGKILL)
	})
	require.Equal(t, counts{}, c)
}

// Guards against a non-idempotent request that runs twice after the suspension of an instance. An
// instance that owns partitions of the claims ledger is suspended with writes in flight. Callers
// time out and retry through other instances, which take over its partitions. Then the instance
// resumes where it was.
func TestResumedInstanceDuplicatesNoRequest(t *testing.T) {
	f := startFleet(t, []string{"a", "b"}, 2, 10*time.Millisecond)
	f.callerTimeout = 500 * time.Millisecond
	suspended := f.instances[1]
	c := f.sendConcurrently(12, 25, func() {
		for range 2 {
			time.Sleep(200 * time.Millisecond)
			suspended.signal(t, syscall.SIGSTOP)
			time.Sleep(1500 * time.Millisecond)
			suspended.signal(t, syscall.SIGCONT)
		}
	})
	require.Equal(t, counts{}, c)
}

// An availability zone loses the connections to the platform and to the other zone for some
// seconds. Idempotent requests in this zone are still served. Notes, which need the claims ledger,
// are refused there without a run and succeed through the other zone. After the partition the zone
// has the configuration that was accepted in the meantime.
func TestPartitionedZoneServesAndCatchesUp(t *testing.T) {
	f := startFleet(t, []string{"a", "b"}, 2, 10*time.Millisecond)
	setPartition := func(on bool) {
		setPartitioned(f.storeRelays["b"], on)
		for _, zone := range []string{"a", "b"} {
			for _, r := range f.peerRelays[zone] {
				setPartitioned(r, on)
			}
		}
	}
	served, refused := 0, 0
	c := f.sendConcurrently(8, 20, func() {
		time.Sleep(200 * time.Millisecond)
		setPartition(true)
		f.applyConfig(2, f.newConfig([]string{"a", "b"}, 0))
		for n := range 20 {
			req, err := http.NewRequest(http.MethodGet, "http://"+f.instances[1].callerAddr+"/services/notes/list", nil)
			require.NoError(t, err)
			req.Header.Set("Ebonydyke-Customer", "committee")
			req.Header.Set("Note", fmt.Sprintf("list-%d", n))
			if f.do(req).status == http.StatusOK {
				served++
			} else {
				refused++
			}
		}
		isolated := f.send(f.instances[1], "note-in-cut")
		require.Equal(t, "not-run", isolated.outcome, "a note can't run without the ledger")
		require.Equal(t, "claim-unavailable", isolated.reason)
		require.Zero(t, f.runs.count("note-in-cut"))
		f.waitGeneration(f.instances[0], 2)
		require.Equal(t, uint64(1), f.generation(f.instances[1]), "the partitioned zone can't read the new configuration")
		setPartition(false)
	})
	t.Logf("in the partitioned zone: %d idempotent requests served, %d refused", served, refused)
	require.Equal(t, counts{}, c)
	require.Zero(t, refused)
	for _, i := range f.instances {
		f.waitGeneration(i, 2)
	}
}

// Guards against an operator's edit that doesn't reach some instance. Eight processes in two
// availability zones must all have each of several edits in force within the timeout.
func TestEditReachesEightInstances(t *testing.T) {
	f := startFleet(t, []string{"a", "b"}, 4, 0)
	for generation := uint64(2); generation <= 4; generation++ {
		accepted := time.Now()
		f.applyConfig(generation, f.newConfig([]string{"a", "b"}, 0))
		for _, i := range f.instances {
			f.waitGeneration(i, generation)
		}
		t.Logf("generation %d in force on all 8 after %v", generation, time.Since(accepted).Round(pollInterval))
	}
}

// Guards against a request that is lost during a rolling replacement. Under load, the instances of
// one availability zone are replaced one by one, then those of the other zone two at a time. A
// caller whose connection is refused uses the next instance, like a load balancer. Throughout the
// replacement, notes wait for their claims and for their responses.
func TestRollingReplacementLosesNoRequest(t *testing.T) {
	f := startFleet(t, []string{"a", "b"}, 4, 50*time.Millisecond)
	zone := make(map[string][]*instance)
	for _, i := range f.instances {
		zone[i.zone] = append(zone[i.zone], i)
	}
	c := f.sendConcurrently(12, 60, func() {
		for _, i := range zone["a"] {
			f.replace(i)
		}
		f.replace(zone["b"][:2]...)
		f.replace(zone["b"][2:]...)
	})
	require.Equal(t, counts{}, c)
}

// replace stops instances in parallel and restarts them when all have exited.
func (f *fleet) replace(list ...*instance) {
	for _, i := range list {
		i.signal(f.t, syscall.SIGTERM)
	}
	for _, i := range list {
		select {
		case <-i.exited:
		case <-time.After(waitTimeout):
			f.t.Errorf("%s does not exit", i.name)
			return
		}
		require.Zero(f.t, i.process.ProcessState.ExitCode(), i.name)
	}
	for _, i := range list {
		f.start(i)
		f.waitGeneration(i, 1)
	}
}
