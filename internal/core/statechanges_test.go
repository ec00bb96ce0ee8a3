package core_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// A starting instance reads hundreds of members with one call while its first callers wait. One
// log line per member took a tenth of a second of processor time. Operators must still find in
// the log when the instance learned of a member, so the line must hold every name.
func TestManyMemberChangesAreLoggedInOneLine(t *testing.T) {
	s := newNodeHarness(t, nil)
	// offerEntries sends engine entries from a peer and returns the resulting changes.
	offerEntries := func(from, to int) []core.StateChanged {
		offer := &core.EntriesOffer{To: uint64(to)}
		for i := from; i < to; i++ {
			engine := engineEntry(i, membership.Live)
			offer.Entries = append(offer.Entries, entries.Entry{Name: engine.Name, Revision: uint64(i + 1), Backend: engine})
		}
		var changes []core.StateChanged
		for _, effect := range s.handle(core.PeerReceived{From: "entry-1", Message: core.PeerMessage{EntriesOffer: offer}}) {
			if l, ok := effect.(core.StateChanged); ok {
				changes = append(changes, l)
			}
		}
		return changes
	}
	grouped := offerEntries(0, 100)
	require.Len(t, grouped, 1)
	require.Len(t, grouped[0].Names, 100)
	require.Contains(t, grouped[0].Names, "engine-42")
	require.Equal(t, string(membership.Live), grouped[0].State)
	single := offerEntries(100, 103)
	require.Len(t, single, 3)
	require.Equal(t, fmt.Sprint("engine-", 100), single[0].Name)
}
