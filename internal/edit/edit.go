// Package edit writes the operators' text to the platform's store and tells
// truthfully what became of the write.
package edit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/store"
)

// Ends of an edit that did not come into the store.
var (
	// ErrLostRace means that another edit came first and nothing was written.
	ErrLostRace = errors.New("lost the race")
	// ErrUnknown means that the text may or may not be in the store.
	ErrUnknown = errors.New("outcome unknown")
	// ErrStoreWentBack means that instances have a higher generation in force than
	// the store holds, and nothing was written.
	ErrStoreWentBack = errors.New("the store went back")
)

// retryDelay is how long a write whose answer was lost waits before it is tried
// again.
const retryDelay = 200 * time.Millisecond

// Edit is one change of the operators' text.
type Edit struct {
	// ID identifies the edit. It must be new for each.
	ID string
	// Text is the new text, which has passed its check.
	Text string
	// Base is the generation that the text was based on, or nil for the newest.
	Base *uint64
	// InForce is the highest generation in force on the instances that were asked.
	InForce uint64
}

// Read returns what the store holds and its version. A store without a text
// gives generation 0.
func Read(ctx context.Context, s store.Store) (config.Envelope, uint64, error) {
	var env config.Envelope
	value, version, err := s.Get(ctx, core.ConfigKey)
	if errors.Is(err, store.ErrAbsent) {
		return env, 0, nil
	}
	if err != nil {
		return env, 0, fmt.Errorf("read the store: %w", err)
	}
	if err := json.Unmarshal(value, &env); err != nil {
		return env, 0, fmt.Errorf("read the store: value of %s: %w", core.ConfigKey, err)
	}
	return env, version, nil
}

// Apply writes the edit over the generation it is based on and returns the
// generation that it got. Other errors than this package's mean that nothing was
// written.
func Apply(ctx context.Context, s store.Store, e Edit) (uint64, error) {
	stored, version, err := Read(ctx, s)
	if err != nil {
		return 0, err
	}
	if err := e.mayFollow(stored); err != nil {
		return 0, err
	}
	env := config.Envelope{
		// Instances never take a lower generation than they have, so a store that
		// went back must be written past the highest of them.
		Generation: max(stored.Generation, e.InForce) + 1,
		Edit:       e.ID,
		Text:       e.Text,
	}
	value, err := json.Marshal(env)
	if err != nil {
		return 0, fmt.Errorf("encode: %w", err)
	}
	return env.Generation, e.write(ctx, s, version, value)
}

// mayFollow tells whether the edit may be written over what the store holds.
func (e Edit) mayFollow(stored config.Envelope) error {
	newest := max(stored.Generation, e.InForce)
	if e.Base != nil && *e.Base != newest {
		return fmt.Errorf("%w: the text is based on generation %d, but generation %d (edit %q in the store) is newer",
			ErrLostRace, *e.Base, newest, stored.Edit)
	}
	if stored.Generation < e.InForce && e.Base == nil {
		return fmt.Errorf("%w: it holds generation %d, but generation %d is in force", ErrStoreWentBack, stored.Generation, e.InForce)
	}
	return nil
}

// write swaps the value in.
//
// A write may take effect although its answer is lost, and may still be under way
// when the store is read back unchanged. So an unclear write is not judged by
// reading: it is sent again, the same value over the same version. Whichever copy
// comes first takes effect, the other meets a conflict, and only then does reading
// back tell whose edit it was.
func (e Edit) write(ctx context.Context, s store.Store, version uint64, value []byte) error {
	unclear := false
	for {
		_, err := s.Swap(ctx, core.ConfigKey, version, value)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrConflict):
			return e.readBack(ctx, s, unclear)
		case errors.Is(err, store.ErrNotDone) && !unclear:
			return fmt.Errorf("write: nothing was written: %w", err)
		}
		unclear = true
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: the answer to the write was lost: %w", ErrUnknown, err)
		case <-time.After(retryDelay):
		}
	}
}

// readBack tells whose edit caused a conflict.
func (e Edit) readBack(ctx context.Context, s store.Store, unclear bool) error {
	stored, _, err := Read(ctx, s)
	switch {
	case err == nil && stored.Edit == e.ID:
		return nil
	case !unclear:
		return fmt.Errorf("%w: edit %q (generation %d) came first", ErrLostRace, stored.Edit, stored.Generation)
	case err != nil:
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	default:
		// The lost write may have taken effect and been followed by this edit.
		return fmt.Errorf("%w: the answer to the write was lost and the store now holds edit %q (generation %d)",
			ErrUnknown, stored.Edit, stored.Generation)
	}
}
