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

// counts are what a session must keep at zero.
type counts struct {
	// lost are notes whose caller has neither an answer nor a true refusal at the
	// end of its tries.
	lost int
	// doubled are notes that ran more than once.
	doubled int
	// falselyRefused are notes said not to have run that ran.
	falselyRefused int
}

// note sends one note until it is answered, known to have been answered before, or
// out of tries, each time through the next instance, as a caller behind a balancer
// does. It returns the last answer, and whether every word was that it did not run.
func (f *fleet) note(key string, first, tries int) (answer, bool) {
	var last answer
	notRun := true
	for n := range tries {
		last = f.send(f.instances[(first+n)%len(f.instances)], key)
		switch {
		case last.outcome == "answered" || last.first == "answered":
			return last, false
		case last.outcome != "not-run":
			notRun = false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last, notRun
}

// storm sends many notes at once while strike does its work, and counts.
func (f *fleet) storm(callers, each int, strike func()) counts {
	var group sync.WaitGroup
	var mu sync.Mutex
	var c counts
	answered, duplicate, inDoubt, refused := 0, 0, 0, 0
	for caller := range callers {
		group.Go(func() {
			for n := range each {
				key := fmt.Sprintf("note-%d-%d", caller, n)
				last, notRun := f.note(key, caller+n, 20)
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
	strike()
	group.Wait()
	f.runs.mu.Lock()
	for _, n := range f.runs.of {
		if n > 1 {
			c.doubled++
		}
	}
	f.runs.mu.Unlock()
	f.t.Logf("answered %d, duplicate %d, claimed and never run %d, refused %d; lost %d, doubled %d, falsely refused %d",
		answered, duplicate, inDoubt, refused, c.lost, c.doubled, c.falselyRefused)
	return c
}

// The board gets two approval notes for one dossier. An instance is killed with
// notes in all stages: waiting for their claim, claimed and not sent, sent and not
// answered. Their callers, whose connections broke, send them again through others.
func TestKilledInstanceDoublesNoNote(t *testing.T) {
	f := startFleet(t, []string{"a", "b"}, 2, 10*time.Millisecond)
	c := f.storm(12, 25, func() {
		time.Sleep(300 * time.Millisecond)
		f.instances[0].signal(t, syscall.SIGKILL)
	})
	require.Equal(t, counts{}, c)
}

// The same note appears twice after a machine hung for a while. An instance that
// owns ranges of the ledger is stopped with writes in flight; callers give up and
// send their notes through others, which take its ranges over; then it wakes and
// goes on where it was.
func TestFrozenInstanceWakesAndDoublesNoNote(t *testing.T) {
	f := startFleet(t, []string{"a", "b"}, 2, 10*time.Millisecond)
	f.callerTimeout = 500 * time.Millisecond
	frozen := f.instances[1]
	c := f.storm(12, 25, func() {
		for range 2 {
			time.Sleep(200 * time.Millisecond)
			frozen.signal(t, syscall.SIGSTOP)
			time.Sleep(1500 * time.Millisecond)
			frozen.signal(t, syscall.SIGCONT)
		}
	})
	require.Equal(t, counts{}, c)
}

// A zone loses the platform and the other zone for some seconds. Its callers'
// ordinary requests are answered throughout; notes that need the ledger are refused
// there, truly, and go through elsewhere; after the cut the zone has the text that
// was accepted meanwhile.
func TestZoneCutOffServesAndCatchesUp(t *testing.T) {
	f := startFleet(t, []string{"a", "b"}, 2, 10*time.Millisecond)
	cut := func(on bool) {
		setCut(f.store["b"], on)
		for _, zone := range []string{"a", "b"} {
			for _, r := range f.links[zone] {
				setCut(r, on)
			}
		}
	}
	served, refused := 0, 0
	c := f.storm(8, 20, func() {
		time.Sleep(200 * time.Millisecond)
		cut(true)
		f.apply(2, f.text([]string{"a", "b"}, 0))
		for n := range 20 {
			req, err := http.NewRequest(http.MethodGet, "http://"+f.instances[1].callers+"/services/notes/list", nil)
			require.NoError(t, err)
			req.Header.Set("Ebonydyke-Customer", "committee")
			req.Header.Set("Note", fmt.Sprintf("list-%d", n))
			if f.do(req).status == http.StatusOK {
				served++
			} else {
				refused++
			}
		}
		alone := f.send(f.instances[1], "note-in-cut")
		require.Equal(t, "not-run", alone.outcome, "no ledger, no note")
		require.Equal(t, "claim-unavailable", alone.reason)
		require.Zero(t, f.runs.count("note-in-cut"))
		f.waitGeneration(f.instances[0], 2)
		require.Equal(t, uint64(1), f.generation(f.instances[1]), "cut off from the text")
		cut(false)
	})
	t.Logf("in the cut zone: %d ordinary requests served, %d refused", served, refused)
	require.Equal(t, counts{}, c)
	require.Zero(t, refused)
	for _, i := range f.instances {
		f.waitGeneration(i, 2)
	}
}

// An operator's edit stays without effect on some entry instance. Eight processes
// in two zones must all have each of several edits in force within seconds.
func TestEditIsInForceOnEightInstances(t *testing.T) {
	f := startFleet(t, []string{"a", "b"}, 4, 0)
	for generation := uint64(2); generation <= 4; generation++ {
		accepted := time.Now()
		f.apply(generation, f.text([]string{"a", "b"}, 0))
		for _, i := range f.instances {
			f.waitGeneration(i, generation)
		}
		t.Logf("generation %d in force on all 8 after %v", generation, time.Since(accepted).Round(poll))
	}
}

// A member's request is lost while the operators replace the fleet. Under load, the
// instances of one zone are replaced one after another, then those of the other two
// at once; a caller whose connection is refused goes to the next instance, as a
// balancer does. Notes wait for their claims and for their answers all the while.
func TestRollingReplacementLosesNothing(t *testing.T) {
	f := startFleet(t, []string{"a", "b"}, 4, 50*time.Millisecond)
	zone := make(map[string][]*instance)
	for _, i := range f.instances {
		zone[i.zone] = append(zone[i.zone], i)
	}
	c := f.storm(12, 60, func() {
		for _, i := range zone["a"] {
			f.replace(i)
		}
		f.replace(zone["b"][:2]...)
		f.replace(zone["b"][2:]...)
	})
	require.Equal(t, counts{}, c)
}

// replace stops instances at once and starts them again once all have ended.
func (f *fleet) replace(list ...*instance) {
	for _, i := range list {
		i.signal(f.t, syscall.SIGTERM)
	}
	for _, i := range list {
		select {
		case <-i.ended:
		case <-time.After(patience):
			f.t.Errorf("%s does not end", i.name)
			return
		}
		require.Zero(f.t, i.process.ProcessState.ExitCode(), i.name)
	}
	for _, i := range list {
		f.start(i)
		f.waitGeneration(i, 1)
	}
}
