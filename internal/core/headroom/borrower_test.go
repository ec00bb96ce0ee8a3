package headroom

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func anyServer(string) bool { return true }

// Guards against a loan for each request while an instance is crowded, and against slots that are kept unused.
func TestLoansAreUsedAgain(t *testing.T) {
	b := NewBorrower()
	loan := b.Ask("entry-2", "engines", "engine-1", true, start.Add(4*time.Second), start)
	require.Equal(t, 8*time.Second, loan.Hold)
	now := start.Add(800 * time.Millisecond)
	require.True(t, b.Ended(loan, 800*time.Millisecond, now))
	require.Nil(t, b.Reuse("portal", now.Add(time.Second), anyServer), "of another service")
	require.Nil(t, b.Reuse("engines", now.Add(time.Second), func(string) bool { return false }), "of a server that is unusable")
	require.Nil(t, b.Reuse("engines", start.Add(9*time.Second), anyServer), "it would outlast the loan")
	require.Same(t, loan, b.Reuse("engines", now.Add(time.Second), anyServer))
	require.Nil(t, b.Reuse("engines", now.Add(time.Second), anyServer), "one request runs on it")
	require.True(t, b.Ended(loan, 800*time.Millisecond, now))
	require.Empty(t, b.TakeUnused(now.Add(100*time.Millisecond)))
	require.Equal(t, []*Loan{loan}, b.TakeUnused(now.Add(200*time.Millisecond)))
	require.Nil(t, b.Reuse("engines", now.Add(time.Second), anyServer))
}

// Guards against slots that idle at a borrower for longer than a request of their service takes.
func TestSlotsOfShortRequestsAreReturnedAtOnce(t *testing.T) {
	b := NewBorrower()
	loan := b.Ask("entry-2", "portal", "portal-1", true, start.Add(time.Second), start)
	require.False(t, b.Ended(loan, 60*time.Millisecond, start))
}

// Guards against asking an owner again and again that has nothing to lend or does not answer.
func TestOwnersAreNotAskedForATime(t *testing.T) {
	b := NewBorrower()
	loan := b.Ask("entry-2", "engines", "engine-1", true, start.Add(time.Second), start)
	b.Ended(loan, time.Second, start)
	b.Denied(loan, start)
	require.False(t, b.Asks("entry-2", start.Add(400*time.Millisecond)))
	require.True(t, b.Asks("entry-2", start.Add(500*time.Millisecond)))
	b.Silent(loan, start)
	require.False(t, b.Asks("entry-2", start.Add(900*time.Millisecond)))
	named := b.Ask("entry-3", "engines", "engine-1", false, start.Add(time.Second), start)
	b.Denied(named, start)
	require.True(t, b.Asks("entry-3", start), "it may have a slot of another server")
}
