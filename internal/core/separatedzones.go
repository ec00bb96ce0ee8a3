package core

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/status"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/paths"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/core/separation"
	"github.com/ebonydyke/ebonydyke/internal/core/warmup"
)

// While this instance is cut off from a zone, that zone's backend servers count as unreachable, not as ended: they keep their caches,
// are not cold, and no request is blamed for their end. The zone is used again once one of its instances is heard or one of its
// servers answers.

// The counter of separated zones and its labels.
const (
	counterSeparation  = "zone_separation"
	labelSeparated     = "separated"
	labelRejoined      = "rejoined"
	labelNotEnded      = "failure-not-an-end"
	labelDoubtful      = "failure-in-doubt"
	labelCopyAvoided   = "copy-avoided"
	labelPeerUncertain = "restart-in-doubt"
)

// zoneOfInstance returns the zone of another instance, "" if it is not known.
func (n *Node) zoneOfInstance(name string) string {
	if member := n.view.Get(name); member != nil {
		return member.Zone
	}
	return ""
}

// heardFromZone records a message from a peer, which shows that its zone is in contact.
func (n *Node) heardFromZone(peer string) {
	zone := n.zoneOfInstance(peer)
	if zone == "" || zone == n.settings.Zone {
		return
	}
	since, _ := n.separation.Separated(zone)
	rejoined, ended := n.separation.Heard(zone, n.now)
	if rejoined {
		n.zoneRejoined(zone, since, "a message of "+peer)
	}
	n.doubtsResolved(ended)
}

// linkLost records that a peer is disconnected.
func (n *Node) linkLost(peer string) {
	zone := n.zoneOfInstance(peer)
	if zone == "" || zone == n.settings.Zone {
		return
	}
	for name, p := range n.peers.byName {
		if p.connected && n.zoneOfInstance(name) == zone {
			return
		}
	}
	n.separation.Linked(zone, false)
}

// contactLost reports whether no link to an instance of another zone works, although one did before.
func (n *Node) contactLost(zone string) bool {
	return zone != n.settings.Zone && n.separation.ContactLost(zone, n.now)
}

// doubtfulEnd is the failure of a server that may have ended or be cut off.
type doubtfulEnd struct {
	// held is the state of the request that the server held at that time, nil if it held none.
	held *poison.Request
	sign warmup.Sign
}

// judgeFailure decides what the end of an attempt says about the zone of its server. It corrects the event: a server that may be cut off
// is not known to have ended.
func (n *Node) judgeFailure(r *request, e *AttemptEnded) separation.Verdict {
	zone := n.zoneOf(r.backend)
	if zone == "" || zone == n.settings.Zone || r.withdrawn || r.callerGone {
		return separation.InContact
	}
	closed := e.ServerEnded || e.ConnectionRefused
	if !closed && e.Outcome != retry.NotSent {
		if e.Outcome == retry.Answered || e.Outcome == retry.Failed || e.Outcome == retry.Refused {
			n.zoneAnswered(zone)
		}
		return separation.InContact
	}
	_, before := n.separation.Separated(zone)
	verdict := n.separation.ServerFailed(zone, r.backend, n.endConfirmed(zone, e), r.sentAt, n.now)
	switch {
	case verdict == separation.InContact, verdict == separation.Doubtful && !closed:
		return separation.InContact
	case verdict == separation.Doubtful:
		n.emit(Counted{Counter: counterSeparation, Label: labelDoubtful, N: 1})
		n.doubtEnd(r, e)
	default:
		n.emit(Counted{Counter: counterSeparation, Label: labelNotEnded, N: 1})
	}
	e.ServerEnded, e.ConnectionRefused = false, false
	if verdict == separation.Separated {
		n.markSeparated(zone, !before)
	}
	return verdict
}

// endConfirmed reports whether an instance in a server's zone was refused as well, or there is none that could be asked.
func (n *Node) endConfirmed(zone string, e *AttemptEnded) bool {
	for _, check := range e.EndChecks {
		if check.Result == paths.Refused && n.zoneOfInstance(check.Relay) == zone {
			return true
		}
	}
	for _, name := range n.liveInstances() {
		if n.zoneOfInstance(name) == zone {
			return false
		}
	}
	return true
}

// doubtEnd keeps the failure of a server until the doubt is resolved; the server gets no request meanwhile. It makes digests due now:
// they show whether the links to the zone still work.
func (n *Node) doubtEnd(r *request, e *AttemptEnded) {
	d := doubtfulEnd{sign: warmup.Sign{Server: r.backend, At: n.now, HeldRequest: e.ServerEnded}}
	if e.ServerEnded {
		held := r.poison
		d.held = &held
	}
	if _, known := n.doubtfulEnds[r.backend]; !known {
		n.doubtfulEnds[r.backend] = d
	}
	n.sendDigestsNow()
}

// doubtsResolved records that servers whose failure was in doubt have ended: their zone is in contact.
func (n *Node) doubtsResolved(servers []string) {
	for _, server := range servers {
		d, known := n.doubtfulEnds[server]
		delete(n.doubtfulEnds, server)
		if !known {
			continue
		}
		if _, p := n.limitsOfServer(server); p != nil {
			n.serverMayHaveEnded(d.sign, "it ended, as its zone is in contact", true)
		}
		if d.held != nil {
			n.serverEnded(d.held)
		}
	}
}

// tickSeparation marks the zones that have become separated since the last tick, and forgets the doubts about servers that are gone.
func (n *Node) tickSeparation() {
	for _, zone := range n.separation.Tick(n.now) {
		n.markSeparated(zone, true)
	}
	maps.DeleteFunc(n.doubtfulEnds, func(server string, _ doubtfulEnd) bool { return n.poolByBackend[server] == nil })
}

// zoneAnswered records a response of one of a zone's servers, which ends a separation.
func (n *Node) zoneAnswered(zone string) {
	if zone == "" || zone == n.settings.Zone {
		return
	}
	since, _ := n.separation.Separated(zone)
	rejoined, ended := n.separation.ServerAnswered(zone, n.now)
	if rejoined {
		n.zoneRejoined(zone, since, "a response of one of its servers")
	}
	n.doubtsResolved(ended)
}

// markSeparated makes all servers of a separated zone unreachable for a backoff. Those that could not be connected to before the zone
// was known to be separated are no longer held for ended.
func (n *Node) markSeparated(zone string, began bool) {
	if began {
		n.emit(Counted{Counter: counterSeparation, Label: labelSeparated, N: 1})
		n.emit(StateChanged{
			Subject: SubjectZone, Name: zone, State: "separated",
			Cause: "no link to its instances, and no connection to " + strings.Join(n.separation.Failed(zone), ", "),
		})
	}
	backoff := n.reach.ZoneBackoff(zone, n.now)
	for _, service := range sortedKeys(n.pools) {
		p := n.pools[service]
		for i := range p.candidates {
			c := &p.candidates[i]
			if c.Zone != zone {
				continue
			}
			delete(n.doubtfulEnds, c.Name)
			n.cold.servers.RetractUncertain(c.Name)
			n.updateCold(c.Name, "")
			n.reach.MarkUnreachable(c.Name, zone, n.now, backoff)
			n.setUnreachable(c.Name, true)
		}
	}
}

// zoneRejoined makes the servers of a zone usable again.
func (n *Node) zoneRejoined(zone string, since time.Time, by string) {
	n.emit(Counted{Counter: counterSeparation, Label: labelRejoined, N: 1})
	n.emit(StateChanged{
		Subject: SubjectZone, Name: zone, State: "in contact again",
		Cause: fmt.Sprintf("%s; separated for %v", by, n.now.Sub(since).Round(time.Millisecond)),
	})
	for _, backend := range n.reach.ResetZone(zone) {
		n.setUnreachable(backend, false)
	}
}

// restartIsUncertain reports whether a peer's claim that a server's process has ended is in doubt: the peer may be cut off from the
// server's zone as this instance is.
func (n *Node) restartIsUncertain(backend, peer string) bool {
	zone := n.zoneOf(backend)
	if zone == "" || !n.contactLost(zone) || n.zoneOfInstance(peer) == zone {
		return false
	}
	n.emit(Counted{Counter: counterSeparation, Label: labelPeerUncertain, N: 1})
	return true
}

// SeparatedZones returns the zones from which this instance is cut off, sorted by name.
func (n *Node) SeparatedZones() []status.SeparatedZone {
	var list []status.SeparatedZone
	for _, zone := range n.separation.Zones() {
		since, _ := n.separation.Separated(zone)
		s := status.SeparatedZone{Zone: zone, Since: since, Servers: n.serversInZone(zone)}
		n.view.Each(func(member *membership.Member) {
			if member.Role == membership.RoleInstance && member.State == membership.Live && member.Zone == zone {
				s.Instances++
			}
		})
		list = append(list, s)
	}
	return list
}
