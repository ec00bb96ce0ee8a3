package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestWriter returns a writer that lacks the records of ends under keys, and their tracker.
func newTestWriter(keys ...Key) (*Writer, *Tracker) {
	w, tracker := NewWriter(), NewTracker()
	for i, key := range keys {
		tracker.Ended(key, server(i), epoch)
		w.Changed(key, epoch)
	}
	return w, tracker
}

// Guards against two calls at once, and against calls without a record or before their time.
func TestOneCallWritesRecords(t *testing.T) {
	w, tracker := newTestWriter(1, 2)
	write, due := w.Next(tracker, epoch)
	require.True(t, due)
	require.Len(t, write.Records, 2)
	require.Zero(t, write.Lease)
	w.Changed(3, epoch)
	tracker.Ended(3, server(3), epoch)
	_, due = w.Next(tracker, epoch)
	require.False(t, due, "in progress")
	require.Equal(t, 2, w.Stored(7, epoch, time.Second))
	_, due = w.Next(tracker, epoch.Add(time.Second-1))
	require.False(t, due, "too early")
	write, due = w.Next(tracker, epoch.Add(time.Second))
	require.True(t, due)
	require.Equal(t, Write{Lease: 7, TTL: storedTTL, Records: write.Records}, write)
	require.Equal(t, Key(3), write.Records[0].Key)
	w.Stored(7, epoch.Add(time.Second), 0)
	_, due = w.Next(tracker, epoch.Add(time.Second))
	require.False(t, due, "no record")
}

// Guards against records that are lost because the call that should have written them failed.
func TestFailedCallIsRepeated(t *testing.T) {
	w, tracker := newTestWriter(1)
	now := epoch
	for failures := 1; failures <= 3; failures++ {
		_, due := w.Next(tracker, now)
		require.True(t, due)
		w.Failed(0, false, now, func(n int) time.Duration {
			require.Equal(t, failures, n)
			return time.Duration(n) * time.Second
		})
		now = now.Add(time.Duration(failures) * time.Second)
		_, due = w.Next(tracker, now.Add(-1))
		require.False(t, due)
	}
	write, _ := w.Next(tracker, now)
	require.Equal(t, Key(1), write.Records[0].Key)
	w.Stored(0, now, 0)
	w.Changed(1, now)
	tracker.Ended(1, server(9), now)
	_, due := w.Next(tracker, now)
	require.True(t, due)
	w.Failed(0, false, now, func(n int) time.Duration {
		require.Equal(t, 1, n, "failures in a row")
		return 0
	})
}

// Guards against records under a lease that has expired, or does so before their time.
func TestLeaseIsRenewedInTime(t *testing.T) {
	w, tracker := newTestWriter(1)
	next := func(key Key, now time.Time) uint64 {
		tracker.Ended(key, server(int(key)), now)
		w.Changed(key, now)
		write, due := w.Next(tracker, now)
		require.True(t, due)
		return write.Lease
	}
	require.Zero(t, next(2, epoch))
	w.Stored(7, epoch, 0)
	require.Equal(t, uint64(7), next(3, epoch.Add(storedTTL/2)))
	w.Stored(7, epoch.Add(storedTTL/2), 0)
	require.Zero(t, next(4, epoch.Add(storedTTL/2+1)), "half of its time is over")
	w.Stored(8, epoch.Add(storedTTL/2+1), 0)
	require.Equal(t, uint64(8), next(5, epoch.Add(storedTTL)))
	w.Failed(8, true, epoch.Add(storedTTL), func(int) time.Duration { return 0 })
	require.Zero(t, next(6, epoch.Add(storedTTL)), "the store has no such lease")
}

// Guards against an answer to an attempt that was sent before the end, or that is taken for one of the present start too early.
func TestLateAnswersAreNoted(t *testing.T) {
	tracker, late := NewTracker(), NewLateAnswers()
	for i := range 3 {
		tracker.Ended(1, server(i), epoch)
	}
	late.Note(tracker, server(0), epoch, epoch.Add(time.Second))
	late.Note(tracker, server(5), epoch.Add(time.Second), epoch.Add(time.Second))
	late.Note(tracker, server(2), epoch.Add(time.Second), epoch.Add(time.Second))
	late.Note(tracker, server(1), epoch.Add(time.Second), epoch.Add(time.Second))
	late.Note(tracker, server(2), epoch.Add(time.Second), epoch.Add(3*time.Second))
	require.Empty(t, late.TakeOlder(2*time.Second, epoch.Add(3*time.Second-1)))
	require.Equal(t, []Server{server(1), server(2)}, late.TakeOlder(2*time.Second, epoch.Add(3*time.Second)))
	require.Empty(t, late.TakeOlder(2*time.Second, epoch.Add(time.Hour)))
}

// Guards against a change of what is blocked that is logged twice, or not at all.
func TestBlockedListTellsChanges(t *testing.T) {
	tracker := NewTracker()
	var list BlockedList
	for i := range MaxEnds {
		added, removed := list.Update(tracker)
		require.Empty(t, added)
		require.Empty(t, removed)
		tracker.Ended(1, server(i), epoch)
	}
	added, removed := list.Update(tracker)
	require.Equal(t, tracker.BlockedKeys(), added)
	require.Equal(t, []Key{1}, added)
	require.Empty(t, removed)
	require.True(t, list.Has(1))
	tracker.Void(server(0), epoch)
	added, removed = list.Update(tracker)
	require.Empty(t, added)
	require.Equal(t, []Key{1}, removed)
	require.False(t, list.Has(1))
}

// Guards against telling all instances of every part of a long prompt, and against blame that whoever can disprove it keeps quiet
// about.
func TestLaterPartsGatherAtHome(t *testing.T) {
	tracker, blaming := NewTracker(), NewTracker()
	for position := range 5 {
		partEnds(tracker, Key(position), position, "v1", epoch, 1)
		require.Equal(t, position > 2, tracker.GathersAtHome(Key(position), Audience{}))
		require.True(t, tracker.GathersAtHome(Key(position), Audience{Large: true}), "a large fleet is told of what is blocked")
		require.False(t, tracker.GathersAtHome(Key(position), Audience{Separated: true}))
		require.True(t, tracker.GathersAtHome(Key(position), Audience{Large: true, Separated: true}), "one end")
		partEnds(blaming, Key(position), position, "v1", epoch, 1, 2, 3)
	}
	now := epoch.Add(time.Second)
	for position := range 5 {
		record, ok := blaming.Record(Key(position), now)
		require.True(t, ok)
		require.Equal(t, position > 0, tracker.Disproves(record, now))
		require.False(t, blaming.Disproves(record, now), "it is suspected there too")
		require.False(t, blaming.GathersAtHome(Key(position), Audience{Large: true, Separated: true}), "three ends")
	}
}
