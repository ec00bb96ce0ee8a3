package regions_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/regions"
)

var zonesOfTwoRegions = map[string]string{"zone-0": "north", "zone-1": "south", "zone-2": "north", "zone-3": ""}

// Guards against a list that is ignored, against one of two lists that lifts the other, and against unknown names that allow
// anything.
func TestAllowedZones(t *testing.T) {
	for name, tt := range map[string]struct {
		route, customer, want []string
		all                   bool
	}{
		"no list":                   {all: true},
		"empty lists":               {route: []string{}, customer: []string{}},
		"empty list of the route":   {route: []string{}, customer: []string{"south"}},
		"empty list, the other nil": {customer: []string{}},
		"route":                     {route: []string{"north"}, want: []string{"zone-0", "zone-2"}},
		"customer":                  {customer: []string{"south"}, want: []string{"zone-1"}},
		"both, the same":            {route: []string{"south"}, customer: []string{"south"}, want: []string{"zone-1"}},
		"both, overlapping":         {route: []string{"south", "north"}, customer: []string{"west", "north"}, want: []string{"zone-0", "zone-2"}},
		"both, nothing in common":   {route: []string{"south"}, customer: []string{"north"}},
		"a region of no zone":       {route: []string{"west"}},
		"an empty name":             {route: []string{""}},
		"an empty name and another": {route: []string{"", "south"}, want: []string{"zone-1"}},
		"a name that is repeated":   {route: []string{"south", "south"}, want: []string{"zone-1"}},
		"another case":              {route: []string{"North"}},
	} {
		t.Run(name, func(t *testing.T) {
			z := regions.New("zone-0", "north", zonesOfTwoRegions).Allowed(tt.route, tt.customer)
			require.Equal(t, !tt.all, z.Restricted())
			require.Equal(t, !tt.all && len(tt.want) == 0, z.Empty())
			var allowed []string
			for _, zone := range []string{"zone-0", "zone-1", "zone-2", "zone-3", "zone-9", ""} {
				if z.Allows(zone) {
					allowed = append(allowed, zone)
				}
			}
			if tt.all {
				require.Len(t, allowed, 6)
				return
			}
			require.Equal(t, tt.want, allowed)
		})
	}
}

// Guards against an instance that knows the region of no zone but its own, and against settings that contradict themselves.
func TestOwnZone(t *testing.T) {
	alone := regions.New("zone-0", "north", nil)
	require.Equal(t, "north", alone.Region("zone-0"))
	require.False(t, alone.Conflict())
	require.True(t, alone.Allowed([]string{"north"}).Allows("zone-0"))
	require.Equal(t, "south", regions.New("zone-1", "north", zonesOfTwoRegions).Region("zone-1"), "the map goes first")
	require.True(t, regions.New("zone-1", "north", zonesOfTwoRegions).Conflict())
	require.Equal(t, "north", regions.New("zone-3", "north", zonesOfTwoRegions).Region("zone-3"))
	without := regions.New("zone-0", "", nil)
	require.False(t, without.Conflict())
	require.True(t, without.Allowed([]string{"north"}).Empty())
	require.False(t, without.Known(""))
	require.Empty(t, regions.New("", "north", map[string]string{"": "north"}).Region(""), "no name of a zone")
}

// Guards against a map that changes with the caller's.
func TestMapIsCopied(t *testing.T) {
	zones := map[string]string{"zone-0": "north"}
	m := regions.New("zone-0", "", zones)
	zones["zone-0"] = "south"
	require.Equal(t, "north", m.Region("zone-0"))
}
