package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestControlTrafficStaysInBudget holds the figures of docs/CAPACITY.md for the
// two sizes that run quickly: bytes in and out together, at the busiest instance,
// with polls. They are the same in every run, which a second run shows.
func TestControlTrafficStaysInBudget(t *testing.T) {
	for _, c := range []struct {
		name string
		most float64
	}{{"today", 1100}, {"zone-15", 1000}} {
		size := named(t, c.name)
		first, second := measure(size), measure(size)
		require.Equal(t, first.Busiest, second.Busiest)
		require.Equal(t, first.Kinds, second.Kinds)
		require.Less(t, first.Busiest.Total, c.most, c.name)
		require.Zero(t, first.Refused, c.name)
		require.Zero(t, first.NotTaken, c.name)
	}
}

func named(t *testing.T, name string) Size {
	t.Helper()
	for _, s := range sizes {
		if s.Name == name {
			s.Seed = 1
			return s
		}
	}
	t.Fatalf("no size %s", name)
	return Size{}
}
