package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// In a fleet too large for all to hear each other, an instance that ranks chats
// over all zones fills servers whose load it hears of only late: the busiest stood
// at 1.32 of the mean. Its chats must stay in its zone while that has servers, and
// go to the others when it has none. In a small fleet all zones are one pool.
func TestChatsStayInTheZoneOnceZonesAreApart(t *testing.T) {
	for _, c := range []struct {
		entries int
		apart   bool
	}{{10, false}, {12, true}} {
		list := liveEngines(6)
		for i := range list {
			list[i].Zone = []string{"z", "other"}[i%2]
		}
		for i := range c.entries {
			list = append(list, membership.Instance{
				Name: fmt.Sprintf("entry-%d", i), Role: membership.Entry, Zone: []string{"z", "other"}[i%2],
				Address: "127.0.0.1:1", Incarnation: 1, State: membership.Live,
			})
		}
		s := newSolo(t, list)
		s.pass(time.Second)
		near, far := 0, 0
		for backend, n := range s.spread("underwriting") {
			if backend == "engine-0" || backend == "engine-2" || backend == "engine-4" {
				near += n
			} else {
				far += n
			}
		}
		require.Positive(t, near)
		require.Equal(t, c.apart, far == 0, "%d instances: %d chats near, %d far", c.entries, near, far)

		for i := range 3 {
			s.handle(core.BackendReported{Report: membership.Report{
				Backend: fmt.Sprint("engine-", 2*i), Incarnation: 1, State: membership.Leaving,
			}})
		}
		_, backend := s.send("underwriting")
		require.NotEmpty(t, backend, "the other zone serves on")
	}
}
