// Package edit writes the operators' configuration to the platform's store and reports
// whether the write took effect.
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

// Errors for an edit that is not, or not certainly, in the store.
var (
	// ErrConflict means that another edit was written first and nothing was written.
	ErrConflict = errors.New("lost the race")
	// ErrOutcomeUnknown means that the edit may or may not have been written.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrStoreRolledBack means that the store returned to an older state: instances have a
	// higher generation in force than it holds. Nothing was written.
	ErrStoreRolledBack = errors.New("the store went back")
)

// retryDelay is the delay before a write whose response was lost is retried.
const retryDelay = 200 * time.Millisecond

// Edit is one change of the operators' configuration.
type Edit struct {
	// ID identifies the edit. It must be unique.
	ID string
	// Text is the new configuration text. It must be valid.
	Text string
	// Base is the generation that the edit is based on, or nil for the newest.
	Base *uint64
	// InForce is the highest generation known to be in force on an instance, or 0.
	InForce uint64
}

// Read returns the stored configuration and its version in the store. If the store has no
// configuration, the generation is 0.
func Read(ctx context.Context, s store.Store) (config.Envelope, uint64, error) {
	var envelope config.Envelope
	value, version, err := s.Get(ctx, core.ConfigKey)
	if errors.Is(err, store.ErrAbsent) {
		return envelope, 0, nil
	}
	if err != nil {
		return envelope, 0, fmt.Errorf("read the store: %w", err)
	}
	if err := json.Unmarshal(value, &envelope); err != nil {
		return envelope, 0, fmt.Errorf("read the store: value of %s: %w", core.ConfigKey, err)
	}
	return envelope, version, nil
}

// Apply replaces the generation that the edit is based on and returns the edit's generation.
// Errors other than those of this package mean that nothing was written.
func Apply(ctx context.Context, s store.Store, e Edit) (uint64, error) {
	stored, version, err := Read(ctx, s)
	if err != nil {
		return 0, err
	}
	if err := e.checkBase(stored); err != nil {
		return 0, err
	}
	envelope := config.Envelope{
		// Instances ignore generations below their own. After the store returned to an
		// older state, the new generation must exceed the highest one in force.
		Generation: max(stored.Generation, e.InForce) + 1,
		Edit:       e.ID,
		Text:       e.Text,
	}
	value, err := json.Marshal(envelope)
	if err != nil {
		return 0, fmt.Errorf("encode: %w", err)
	}
	return envelope.Generation, e.write(ctx, s, version, value)
}

// checkBase returns an error if the edit must not replace the stored configuration.
func (e Edit) checkBase(stored config.Envelope) error {
	newest := max(stored.Generation, e.InForce)
	if e.Base != nil && *e.Base != newest {
		return fmt.Errorf("%w: the text is based on generation %d, but generation %d (edit %q in the store) is newer",
			ErrConflict, *e.Base, newest, stored.Edit)
	}
	if stored.Generation < e.InForce && e.Base == nil {
		return fmt.Errorf("%w: it holds generation %d, but generation %d is in force", ErrStoreRolledBack, stored.Generation, e.InForce)
	}
	return nil
}

// write writes the value with a compare-and-swap on the version.
//
// A write may take effect although its response is lost, and it may still be in flight when a
// read returns the old value. Therefore a read cannot decide the outcome of such a write.
// Instead the same value is written again over the same version: the first copy takes
// effect and the other gets a conflict. After a conflict, a read shows which edit was
// written.
func (e Edit) write(ctx context.Context, s store.Store, version uint64, value []byte) error {
	outcomeUnknown := false
	for {
		_, err := s.Swap(ctx, core.ConfigKey, version, value)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrConflict):
			return e.resolveConflict(ctx, s, outcomeUnknown)
		case errors.Is(err, store.ErrNotApplied) && !outcomeUnknown:
			return fmt.Errorf("write: nothing was written: %w", err)
		}
		outcomeUnknown = true
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: the response to the write was lost: %w", ErrOutcomeUnknown, err)
		case <-time.After(retryDelay):
		}
	}
}

// resolveConflict reads the store after a conflict and returns nil if this edit caused it.
func (e Edit) resolveConflict(ctx context.Context, s store.Store, outcomeUnknown bool) error {
	stored, _, err := Read(ctx, s)
	switch {
	case err == nil && stored.Edit == e.ID:
		return nil
	case !outcomeUnknown:
		return fmt.Errorf("%w: edit %q (generation %d) was written first", ErrConflict, stored.Edit, stored.Generation)
	case err != nil:
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	default:
		// The write may have taken effect before the stored edit replaced it.
		return fmt.Errorf("%w: the response to the write was lost and the store now holds edit %q (generation %d)",
			ErrOutcomeUnknown, stored.Edit, stored.Generation)
	}
}
