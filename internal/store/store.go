// Package store defines the types and errors of the operators' key-value store that the fleet
// uses: reads, compare-and-swap, watches and leases.
//
// Package platform has the client that implements the store's protocol. The core and the tools
// depend only on this package.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of a store call. After any other error it is unknown whether a write took effect.
var (
	// ErrAbsent means that the key, or the lease, does not exist.
	ErrAbsent = errors.New("store: absent")
	// ErrConflict means that the version differed and nothing was written.
	ErrConflict = errors.New("store: version conflict")
	// ErrHistoryLost means that the store no longer has the changes after the requested revision,
	// so the keys must be read again.
	ErrHistoryLost = errors.New("store: history no longer kept")
	// ErrNotApplied means that the call certainly had no effect: it was never sent, or the store
	// refused it.
	ErrNotApplied = errors.New("store: not done")
)

// Item is a key with its value as last written.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision of the last change. It grows with each change
	// of any key.
	Revision uint64
	// Created is the store's revision at which the key was created.
	Created uint64
	// Lease is the ID of the lease that the key is attached to, 0 if there is none.
	Lease uint64
	// Deleted is set in the result of a watch if the key was deleted.
	Deleted bool
}

// Page is a part of the keys under a prefix, or the changes that a watch returned.
type Page struct {
	Items []Item
	// More is set if there are more keys after the last item.
	More bool
	// Revision is the store's revision, from which a watch continues.
	Revision uint64
}

// Lease is a lease in the store. If it is not renewed within TTL, it expires, and its keys are
// deleted.
type Lease struct {
	ID  uint64
	TTL time.Duration
}

// Store reads and writes single keys. The version of a key only increases.
type Store interface {
	// Get reads a key.
	Get(ctx context.Context, key string) (value []byte, version uint64, err error)
	// Swap writes a key if its current version equals version, and returns the new version. 0
	// creates the key.
	Swap(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
}
