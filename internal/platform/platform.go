// Package platform calls the platform's services: the key-value store with
// compare-and-swap and watches, and the lagging list of instances.
package platform

import (
	"context"
	"errors"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// Errors of a store call. Any other error leaves open whether a write took effect.
var (
	// ErrAbsent means that the key does not exist.
	ErrAbsent = errors.New("platform: key absent")
	// ErrConflict means that the version differed and nothing was written.
	ErrConflict = errors.New("platform: version conflict")
	// ErrUnchanged means that a watch ended without a change.
	ErrUnchanged = errors.New("platform: unchanged")
	// ErrNotSent means that the call never reached the platform.
	ErrNotSent = errors.New("platform: not sent")
)

// Store is the platform's key-value service. Versions of a key only grow.
type Store interface {
	// Get reads a key.
	Get(ctx context.Context, key string) (value []byte, version uint64, err error)
	// Swap writes a key whose version is still version; 0 creates the key.
	Swap(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	// Watch waits until the key's version differs from version.
	Watch(ctx context.Context, key string, version uint64) (value []byte, newVersion uint64, err error)
}

// Lister is the platform's lagging list of instances.
type Lister interface {
	// List returns every instance that the platform knows.
	List(ctx context.Context) ([]membership.Instance, error)
}
