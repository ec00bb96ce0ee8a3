package warmup

import (
	"maps"
	"slices"
)

// Changes collects which servers have turned cold or warm, so that they are logged together: all servers of a zone may end at
// once. Its zero value is empty. It is not safe for concurrent use.
type Changes struct {
	cold map[string][]string
	warm []string
}

// TurnedCold records that a server has turned cold for a cause.
func (c *Changes) TurnedCold(server, cause string) {
	if c.cold == nil {
		c.cold = make(map[string][]string)
	}
	c.cold[cause] = append(c.cold[cause], server)
}

// TurnedWarm records that a server has turned warm.
func (c *Changes) TurnedWarm(server string) { c.warm = append(c.warm, server) }

// Take returns the servers that have turned cold since the last call, by cause, and those that have turned warm, all sorted.
func (c *Changes) Take() (cold []Group, warm []string) {
	for _, cause := range slices.Sorted(maps.Keys(c.cold)) {
		slices.Sort(c.cold[cause])
		cold = append(cold, Group{Cause: cause, Servers: c.cold[cause]})
	}
	warm = c.warm
	slices.Sort(warm)
	clear(c.cold)
	c.warm = nil
	return cold, warm
}

// Group holds the servers that have turned cold for one cause.
type Group struct {
	Cause   string
	Servers []string
}
