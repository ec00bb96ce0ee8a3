package daemon

import (
	"github.com/ebonydyke/ebonydyke/internal/metrics"
	"github.com/ebonydyke/ebonydyke/internal/peer"
)

// readControl returns a function that reads the control traffic counters of the links.
func readControl(links *peer.Links) func() metrics.ControlStats {
	return func() metrics.ControlStats {
		now := links.Stats().Snapshot()
		c := metrics.ControlStats{Dropped: make(map[string]uint64)}
		for _, kind := range peer.Kinds() {
			c.Traffic = append(c.Traffic,
				traffic(kind, metrics.Sent, now.Out[kind]),
				traffic(kind, metrics.Received, now.In[kind]))
		}
		for kind, n := range now.Dropped {
			c.Dropped[kind.String()] = n
		}
		c.RejectedConns, c.BadFrames, c.EndlessInputs = now.RejectedConns, now.BadFrames, now.EndlessInputs
		return c
	}
}

func traffic(kind peer.Kind, d metrics.Direction, n peer.Count) metrics.Traffic {
	return metrics.Traffic{Kind: kind.String(), Direction: d, Messages: n.Messages, Bytes: n.Bytes}
}
