package edit_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/edit"
	"github.com/ebonydyke/ebonydyke/internal/store"
)

var errConnectionReset = errors.New("connection reset")

// fakeStore holds one key. Each Swap first applies the next of its faults.
type fakeStore struct {
	value   []byte
	version uint64
	faults  []func(s *fakeStore, value []byte) (done bool, err error)
	swaps   int
}

func newFakeStore(t *testing.T, generation uint64) *fakeStore {
	t.Helper()
	value, err := json.Marshal(config.Envelope{Generation: generation, Edit: "theirs"})
	require.NoError(t, err)
	return &fakeStore{value: value, version: 10 * generation}
}

func (s *fakeStore) Get(context.Context, string) ([]byte, uint64, error) {
	if s.version == 0 {
		return nil, 0, store.ErrAbsent
	}
	return s.value, s.version, nil
}

func (s *fakeStore) Swap(_ context.Context, _ string, version uint64, value []byte) (uint64, error) {
	s.swaps++
	if len(s.faults) > 0 {
		fault := s.faults[0]
		s.faults = s.faults[1:]
		if done, err := fault(s, value); done {
			return 0, err
		}
	}
	if version != s.version {
		return 0, store.ErrConflict
	}
	s.put(value)
	return s.version, nil
}

func (s *fakeStore) Watch(context.Context, string, uint64) ([]byte, uint64, error) {
	return nil, 0, store.ErrAbsent
}

func (s *fakeStore) put(value []byte) {
	s.value, s.version = value, s.version+1
}

// Faults that a write can meet.
func loseResponse(s *fakeStore, value []byte) (bool, error) {
	s.put(value)
	return true, errConnectionReset
}

func loseWrite(*fakeStore, []byte) (bool, error) { return true, errConnectionReset }

func failBeforeSend(*fakeStore, []byte) (bool, error) { return true, store.ErrNotApplied }

func writeConcurrentEdit(s *fakeStore, _ []byte) (bool, error) {
	s.put([]byte(`{"generation":6,"edit":"other"}`))
	return false, nil
}

func apply(s *fakeStore, e edit.Edit) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	e.ID, e.Text = "mine", "text"
	return edit.Apply(ctx, s, e)
}

func generationPtr(g uint64) *uint64 { return &g }

// TestApplyReportsOutcome checks the outcome that Apply reports when the response to a write or the
// write itself is lost, when another operator's edit is written in between, and when the
// store returned to an older state. If the outcome is wrong, "accepted" for an edit that is
// not in the store or "failed" for one that is, the operator's next action is wrong too.
func TestApplyReportsOutcome(t *testing.T) {
	for _, c := range []struct {
		name       string
		stored     uint64
		edit       edit.Edit
		faults     []func(*fakeStore, []byte) (bool, error)
		generation uint64
		err        error
		written    bool
	}{
		{name: "no stored configuration", generation: 1, written: true},
		{name: "newest generation as base", stored: 5, generation: 6, written: true},
		{name: "current base", stored: 5, edit: edit.Edit{Base: generationPtr(5)}, generation: 6, written: true},
		{name: "old base", stored: 5, edit: edit.Edit{Base: generationPtr(4)}, err: edit.ErrConflict},
		{name: "concurrent edit", stored: 5, faults: faults(writeConcurrentEdit), err: edit.ErrConflict},
		{name: "response lost", stored: 5, faults: faults(loseResponse), generation: 6, written: true},
		{name: "write lost", stored: 5, faults: faults(loseWrite), generation: 6, written: true},
		{name: "write lost, then concurrent edit", stored: 5, faults: faults(loseWrite, writeConcurrentEdit), err: edit.ErrOutcomeUnknown},
		{name: "response lost, then concurrent edit", stored: 5, faults: faults(loseResponse, writeConcurrentEdit), err: edit.ErrOutcomeUnknown},
		{name: "not sent", stored: 5, faults: faults(failBeforeSend), err: store.ErrNotApplied},
		{name: "response lost, then not sent", stored: 5, faults: faults(loseResponse, failBeforeSend), generation: 6, written: true},
		{name: "store at an older generation", stored: 3, edit: edit.Edit{InForce: 5}, err: edit.ErrStoreRolledBack},
		{name: "store at an older generation, base in force", stored: 3, edit: edit.Edit{InForce: 5, Base: generationPtr(5)}, generation: 6, written: true},
		{name: "store empty, base in force", edit: edit.Edit{InForce: 5, Base: generationPtr(5)}, generation: 6, written: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &fakeStore{}
			if c.stored > 0 {
				s = newFakeStore(t, c.stored)
			}
			s.faults = c.faults
			generation, err := apply(s, c.edit)
			require.ErrorIs(t, err, c.err)
			if c.err == nil {
				require.Equal(t, c.generation, generation)
			}
			var env config.Envelope
			if s.value != nil {
				require.NoError(t, json.Unmarshal(s.value, &env))
			}
			require.Equal(t, c.written, env.Edit == "mine")
		})
	}
}

func faults(f ...func(*fakeStore, []byte) (bool, error)) []func(*fakeStore, []byte) (bool, error) {
	return f
}

// TestLostWritesReportUnknownOutcome loses every write until the timeout: Apply must retry and
// then report an unknown outcome instead of guessing.
func TestLostWritesReportUnknownOutcome(t *testing.T) {
	s := newFakeStore(t, 5)
	for range 100 {
		s.faults = append(s.faults, loseWrite)
	}
	_, err := apply(s, edit.Edit{})
	require.ErrorIs(t, err, edit.ErrOutcomeUnknown)
	require.Greater(t, s.swaps, 1)
}
