package peer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/api/peerpb"
	"github.com/ebonydyke/ebonydyke/internal/core/load"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// oddCounts are numbers of an instance of another build that may pass on what another writer has left.
var oddCounts = []uint32{0, 64, membership.MaxRequests, membership.MaxRequests + 1, math.MaxInt32, 1 << 31, math.MaxUint32}

// Guards against a server with an impossible number of slots that an instance of an earlier build passes on.
func TestEntriesOfPeersAreBounded(t *testing.T) {
	for _, slots := range oddCounts {
		d := NewDecoder()
		f := &peerpb.Frame{Names: []string{"a", "b"}, EntriesOffer: &peerpb.EntriesOffer{From: 1, To: 3, Entries: []*peerpb.Entry{
			{Name: 1, Revision: 2, Backend: &peerpb.Member{Name: 1, Slots: slots}},
			{Name: 2, Revision: 3, Backend: &peerpb.Member{Name: 2, Slots: 64}},
		}}}
		require.NoError(t, d.addNames(f))
		m, err := d.message(f)
		require.NoError(t, err, slots)
		offered := m.EntriesOffer.Entries
		require.Len(t, offered, 2)
		require.NotNil(t, offered[1].Backend, "the others hold")
		require.EqualValues(t, 2, offered[0].Revision, "the entry is known to be there")
		require.Equal(t, slots > membership.MaxRequests, offered[0].Unreadable, slots)
		require.Equal(t, slots > membership.MaxRequests, offered[0].Backend == nil, slots)
	}
}

// Guards against a server with an impossible number of slots in a digest, and against one that costs the rest of the digest.
func TestMembersInDigestsAreBounded(t *testing.T) {
	for _, count := range oddCounts {
		d := NewDecoder()
		f := &peerpb.Frame{Names: []string{"a", "b"}, Digest: &peerpb.Digest{
			Loads:   []uint32{1, count, 1, 7},
			Members: []*peerpb.Member{{Name: 1, Slots: count}, {Name: 2, Slots: 64}},
		}}
		require.NoError(t, d.addNames(f))
		m, err := d.message(f)
		require.NoError(t, err, count)
		for _, member := range m.Digest.Members {
			require.NoError(t, member.Check(), count)
		}
		require.Equal(t, "b", m.Digest.Members[len(m.Digest.Members)-1].Name, "the others hold")
		require.Equal(t, load.Count{Backend: "a", InFlight: int(count)}, m.Digest.Loads[0], "within the range of the wire, not negative")
	}
}
